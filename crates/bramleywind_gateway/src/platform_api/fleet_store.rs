use std::time::{Duration, Instant};

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::InstanceId;

use super::{
    BudgetChange, BudgetEntry, CommitOutcome, EntryChange, FleetListing, LeaseId, ListPage,
    LoadedConfig, MemberOutcome, PresenceOutcome, StoreChanges,
};
use crate::{
    crashes::{CallFingerprint, PartQuarantine, QuarantineRecord, SharedPart},
    members::{MemberRecord, PresenceRecord},
};

/// The operations of the platform's store that the gateway uses.
///
/// Each method counts as one call, or one call per page, against the store's rate limits. The futures are not `Send`,
/// since the runtime keeps a connection on its thread.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait FleetStore: 'static {
    /// The number of bytes of the store's answers that this process has received so far.
    fn received_bytes(&self) -> u64;

    /// The number of calls that this process has made so far, by kind.
    fn call_counts(&self) -> Vec<(Box<str>, u64)>;

    /// When the store last answered a call that it does not answer from an old copy.
    fn answered_at(&self) -> Option<Instant>;

    /// Reads the operators' configuration and its version.
    async fn read_config(&self) -> Result<(LoadedConfig, StoreVersion), UnavailableReason>;

    /// Waits up to `wait` for configurations that were written after `after`. The last one is the newest.
    async fn watch_config(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<StoreChanges<LoadedConfig>, UnavailableReason>;

    /// Reads all entries of the endpoint registry.
    async fn list_endpoints(&self) -> Result<ListPage<EntryChange>, UnavailableReason>;

    /// Waits up to `wait` for changes of the endpoint registry that were made after `after`.
    async fn watch_endpoints(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<StoreChanges<EntryChange>, UnavailableReason>;

    /// Reads the list of gateways and the refused requests, which may be some seconds old.
    async fn list_fleet(&self) -> Result<FleetListing, UnavailableReason>;

    /// Checks by a cheap read of the presence record of an instance that the store answers.
    async fn check_answer(&self, instance: &InstanceId) -> Result<(), UnavailableReason>;

    /// Reads the current presence records of all gateways, with their instances and versions.
    async fn list_presences(
        &self,
    ) -> Result<Vec<(InstanceId, PresenceRecord, StoreVersion)>, UnavailableReason>;

    /// Writes the presence record of an instance if the one in the store has the version `expected`.
    async fn write_presence(
        &self,
        instance: &InstanceId,
        record: &PresenceRecord,
        expected: StoreVersion,
    ) -> PresenceOutcome;

    /// Renews a lease. Returns `false` if the lease has ended.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, UnavailableReason>;

    /// Takes a lease that expires after `time_to_live` unless it is renewed.
    async fn take_lease(&self, time_to_live: Duration) -> Result<LeaseId, UnavailableReason>;

    /// Ends a lease, which removes the entries written under it.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), UnavailableReason>;

    /// Adds a gateway to the member list until its lease ends, if its record in the store has the version `expected`.
    async fn write_member(
        &self,
        member: &MemberRecord,
        lease: LeaseId,
        expected: StoreVersion,
    ) -> Result<MemberOutcome, UnavailableReason>;

    /// Writes the record of a refused request until the lease ends. Returns `false` if the lease has already ended.
    async fn write_quarantine(
        &self,
        record: &QuarantineRecord,
        lease: LeaseId,
    ) -> Result<bool, UnavailableReason>;

    /// Removes the record of a request that is no longer refused.
    async fn remove_quarantine(
        &self,
        fingerprint: &CallFingerprint,
    ) -> Result<(), UnavailableReason>;

    /// Writes the record of a refused part of prompts until the lease ends. Returns `false` if the lease has already ended.
    async fn write_part_quarantine(
        &self,
        record: &PartQuarantine,
        lease: LeaseId,
    ) -> Result<bool, UnavailableReason>;

    /// Removes the record of a part that is no longer refused.
    async fn remove_part_quarantine(&self, part: &SharedPart) -> Result<(), UnavailableReason>;

    /// Reads all budget records. They are current if `is_fresh` is set, and may be some seconds old otherwise.
    async fn read_budgets(&self, is_fresh: bool) -> Result<Vec<BudgetEntry>, UnavailableReason>;

    /// Atomically writes up to [`Self::MAX_CHANGES`] budget records. If `presence` is given, the write is applied only
    /// if the presence record of that instance still has that version.
    async fn commit_budgets(
        &self,
        changes: &[BudgetChange],
        presence: Option<(&InstanceId, StoreVersion)>,
    ) -> CommitOutcome;

    /// The maximum number of budget records in one write.
    const MAX_CHANGES: usize;
}
