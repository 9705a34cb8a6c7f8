use std::time::Duration;

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::InstanceId;

use super::{
    BudgetChange, BudgetEntry, CommitOutcome, EntryChange, LeaseId, ListPage, LoadedConfig,
    StoreChanges,
};
use crate::members::{MemberRecord, PresenceRecord};

/// The platform's store, as far as the gateway uses it.
///
/// Each method is one call against the store's rates, or one call a page. Futures are not `Send`: the runtime
/// keeps a connection on its thread.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait FleetStore: 'static {
    /// Reads the operators' configuration.
    async fn read_config(&self) -> Result<(LoadedConfig, StoreVersion), UnavailableReason>;

    /// Waits up to `wait` for a configuration that was written after `after`; the last one is the newest.
    async fn watch_config(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<StoreChanges<LoadedConfig>, UnavailableReason>;

    /// Reads all entries of the endpoint registry.
    async fn list_endpoints(&self) -> Result<ListPage<EntryChange>, UnavailableReason>;

    /// Waits up to `wait` for changes of the endpoint registry after `after`.
    async fn watch_endpoints(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<StoreChanges<EntryChange>, UnavailableReason>;

    /// Reads the list of gateways. It may be some seconds old.
    async fn list_members(&self) -> Result<Vec<MemberRecord>, UnavailableReason>;

    /// Reads all gateways' presence records as of now, with their instances and versions.
    async fn list_presences(
        &self,
    ) -> Result<Vec<(InstanceId, PresenceRecord, StoreVersion)>, UnavailableReason>;

    /// Writes the own presence record.
    async fn write_presence(
        &self,
        instance: &InstanceId,
        record: &PresenceRecord,
    ) -> Result<(), UnavailableReason>;

    /// Renews a lease. False if it has ended.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, UnavailableReason>;

    /// Takes a lease that ends by itself after `time_to_live`, unless it is renewed.
    async fn take_lease(&self, time_to_live: Duration) -> Result<LeaseId, UnavailableReason>;

    /// Ends a lease, and with it what was written under it.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), UnavailableReason>;

    /// Enters a gateway into the list, until its lease ends. False if the lease has ended.
    async fn write_member(
        &self,
        member: &MemberRecord,
        lease: LeaseId,
    ) -> Result<bool, UnavailableReason>;

    /// Reads all budget records. With `is_fresh` they are as of now, else they may be some seconds old.
    async fn read_budgets(&self, is_fresh: bool) -> Result<Vec<BudgetEntry>, UnavailableReason>;

    /// Writes budget records, all or none, and only if the presence record of the given instance still has its version. At
    /// most [`Self::MAX_CHANGES`] at once.
    async fn commit_budgets(
        &self,
        changes: &[BudgetChange],
        presence: Option<(&InstanceId, StoreVersion)>,
    ) -> CommitOutcome;

    /// The most budget records that one write may change.
    const MAX_CHANGES: usize;
}
