//! Checks that the grants of a process that has ended are closed. Guards against tokens that are lost permanently
//! because the store was failing when the successor started.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use bramleywind_gateway::{
    funds::{BudgetRecord, EndedProcess, HolderGrant, TakeoverOutcome, TokenRate},
    members::{MemberRecord, PresenceRecord},
    platform_api::{
        BudgetChange, BudgetEntry, CommitOutcome, EntryChange, FleetStore, LeaseId, ListPage,
        LoadedConfig, StoreChanges,
    },
};
use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{IncarnationId, InstanceId, TokenCount};
use slog::{Discard, Logger, o};
use test_case::test_case;

/// A store with one budget. Its first writes fail: they are either refused, or applied with their answers lost.
struct BudgetStore {
    record: RefCell<BudgetRecord>,
    version: Cell<u64>,
    failing_writes: Cell<u32>,
    applies_failing_writes: bool,
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
        _presence: Option<(&InstanceId, StoreVersion)>,
    ) -> CommitOutcome {
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

    async fn list_members(&self) -> Result<Vec<MemberRecord>, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn list_presences(
        &self,
    ) -> Result<Vec<(InstanceId, PresenceRecord, StoreVersion)>, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }

    async fn write_presence(
        &self,
        _instance: &InstanceId,
        _record: &PresenceRecord,
    ) -> Result<(), UnavailableReason> {
        Err(UnavailableReason::Outage)
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
    ) -> Result<bool, UnavailableReason> {
        Err(UnavailableReason::Outage)
    }
}

/// A process that started while the store lost a third of its answers gave up after ten attempts, and overwrote the
/// presence record of the earlier process with its own. Half of a workspace's budget was lost.
#[test_case(0, false; "healthy store")]
#[test_case(30, false; "refused writes")]
#[test_case(1, true; "lost answer")]
fn unspent_standby_tokens_are_returned(failing_writes: u32, applies_failing_writes: bool) {
    let incarnation = IncarnationId::from_number(7);
    let mut record = BudgetRecord::default();
    let grant =
        HolderGrant { working: TokenCount(100), standby: TokenCount(500), use_rate: TokenRate(10) };
    record.set_grant(incarnation, grant);
    let store = BudgetStore {
        record: RefCell::new(record),
        version: Cell::new(1),
        failing_writes: Cell::new(failing_writes),
        applies_failing_writes,
    };
    let ended = EndedProcess {
        instance: "front-1".parse().unwrap(),
        incarnation,
        presence_version: StoreVersion(1),
        age: Duration::from_millis(500),
    };
    let log = Logger::root(Discard, o!());
    let runtime = compio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(ended.close_grants(&store, &log)).unwrap();
    assert_ne!(outcome, TakeoverOutcome::AgeUnknown);
    assert_eq!(store.record.borrow().pool(TokenCount(1_000)), TokenCount(900));
}
