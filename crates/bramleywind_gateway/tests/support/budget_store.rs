//! A store stand-in that holds one budget.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use bramleywind_gateway::{
    crashes::{CallFingerprint, PartQuarantine, QuarantineRecord, SharedPart},
    funds::BudgetRecord,
    members::{BootTime, MemberRecord, PresenceRecord},
    platform_api::{
        BudgetChange, BudgetEntry, CommitOutcome, EntryChange, FleetListing, FleetStore, LeaseId,
        ListPage, LoadedConfig, MemberOutcome, PresenceOutcome, StoreChanges,
    },
};
use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{IncarnationId, InstanceId};

/// A store with one budget. Its first writes fail: they are either refused, or applied with their answers lost.
pub struct BudgetStore {
    pub record: RefCell<BudgetRecord>,
    pub version: Cell<u64>,
    pub failing_writes: Cell<u32>,
    pub applies_failing_writes: bool,
    /// The version of the instance's presence record, and the one after a late write that is applied before the next write.
    pub presence_version: Cell<u64>,
    pub late_presence_version: Cell<Option<u64>>,
}

impl FleetStore for BudgetStore {
    const MAX_CHANGES: usize = 1;

    async fn read_budgets(&self, _is_fresh: bool) -> Result<Vec<BudgetEntry>, UnavailableReason> {
        Ok(vec![BudgetEntry {
            workspace: "menders".parse().unwrap(),
            version: StoreVersion(self.version.get()),
            record: self.record.borrow().clone(),
        }])
    }

    async fn commit_budgets(
        &self,
        changes: &[BudgetChange],
        presence: Option<(&InstanceId, StoreVersion)>,
    ) -> CommitOutcome {
        if let Some(version) = self.late_presence_version.take() {
            self.presence_version.set(version);
        }
        if presence.is_some_and(|(_, version)| version.0 != self.presence_version.get()) {
            return CommitOutcome::Conflict(Vec::new());
        }
        let is_failing = self.failing_writes.get() > 0;
        self.failing_writes.set(self.failing_writes.get().saturating_sub(1));
        if !is_failing || self.applies_failing_writes {
            *self.record.borrow_mut() = changes[0].record.clone();
            self.version.set(self.version.get() + 1);
        }
        match (is_failing, self.applies_failing_writes) {
            (true, true) => CommitOutcome::Unknown,
            (true, false) => CommitOutcome::NotApplied,
            (false, _) => CommitOutcome::Applied(StoreVersion(self.version.get())),
        }
    }

    async fn read_config(&self) -> Result<(LoadedConfig, StoreVersion), UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn watch_config(
        &self,
        _after: StoreVersion,
        _wait: Duration,
    ) -> Result<StoreChanges<LoadedConfig>, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn list_endpoints(&self) -> Result<ListPage<EntryChange>, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn watch_endpoints(
        &self,
        _after: StoreVersion,
        _wait: Duration,
    ) -> Result<StoreChanges<EntryChange>, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    fn received_bytes(&self) -> u64 {
        0
    }

    fn call_counts(&self) -> Vec<(Box<str>, u64)> {
        Vec::new()
    }

    fn answered_at(&self) -> Option<std::time::Instant> {
        None
    }

    async fn list_fleet(&self) -> Result<FleetListing, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn check_answer(&self, _instance: &InstanceId) -> Result<(), UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn list_presences(
        &self,
    ) -> Result<Vec<(InstanceId, PresenceRecord, StoreVersion)>, UnavailableReason> {
        let record = PresenceRecord {
            incarnation: IncarnationId::from_number(7),
            peer_address: "127.0.0.1:7340".parse().unwrap(),
            written_at_ms: Some(1),
            witness: None,
            is_closed: false,
            boot_time: BootTime::default(),
        };
        let version = StoreVersion(self.presence_version.get());
        Ok(vec![("front-1".parse().unwrap(), record, version)])
    }

    async fn write_presence(
        &self,
        _instance: &InstanceId,
        _record: &PresenceRecord,
        _expected: StoreVersion,
    ) -> PresenceOutcome {
        PresenceOutcome::NotWritten(UnavailableReason::Outage)
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<bool, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn take_lease(&self, _time_to_live: Duration) -> Result<LeaseId, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn end_lease(&self, _lease: LeaseId) -> Result<(), UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn write_member(
        &self,
        _member: &MemberRecord,
        _lease: LeaseId,
        _expected: StoreVersion,
    ) -> Result<MemberOutcome, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn write_quarantine(
        &self,
        _record: &QuarantineRecord,
        _lease: LeaseId,
    ) -> Result<bool, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn remove_quarantine(
        &self,
        _fingerprint: &CallFingerprint,
    ) -> Result<(), UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn write_part_quarantine(
        &self,
        _record: &PartQuarantine,
        _lease: LeaseId,
    ) -> Result<bool, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn remove_part_quarantine(&self, _part: &SharedPart) -> Result<(), UnavailableReason> {
        Err(UnavailableReason::Outage)
    }
}
