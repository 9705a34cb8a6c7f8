//! Checks that the grants of a process that has ended are closed. Guards against tokens that are lost permanently
//! because the store was failing when the successor started.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/budget_store.rs"]
mod budget_store;

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use bramleywind_gateway::funds::{
    BudgetRecord, EndedProcess, HolderGrant, SpentBound, TakeoverOutcome, TokenRate,
};
use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount};
use budget_store::BudgetStore;
use slog::{Discard, Logger, o};
use test_case::test_case;

/// A process that started while the store lost a third of its answers gave up after ten attempts, and overwrote the
/// presence record of the earlier process with its own. Half of a workspace's budget was lost.
#[test_case(0, false; "healthy store")]
#[test_case(30, false; "refused writes")]
#[test_case(1, true; "lost answer")]
fn unspent_standby_tokens_are_returned(failing_writes: u32, applies_failing_writes: bool) {
    let store = store_with_grant();
    store.failing_writes.set(failing_writes);
    let store = BudgetStore { applies_failing_writes, ..store };
    let outcome = close_grants(&store, StoreVersion(1));
    assert_ne!(outcome, TakeoverOutcome::AgeUnknown);
    assert_eq!(store.record.borrow().pool(TokenCount(1_000)), TokenCount(900));
}

/// A presence record that the ended process had sent was applied after its successor had read the earlier one. All of the
/// successor's writes were refused from then on, and 43 in 100 of a budget were lost.
#[test]
fn late_presence_record_does_not_keep_grants_open() {
    let store = store_with_grant();
    store.late_presence_version.set(Some(2));
    assert_eq!(close_grants(&store, StoreVersion(1)), TakeoverOutcome::PresenceChanged);
    assert_eq!(close_grants(&store, StoreVersion(2)), TakeoverOutcome::Done { budgets: 1 });
    assert_eq!(store.record.borrow().pool(TokenCount(1_000)), TokenCount(900));
}

/// Returns a healthy store in which a process has 100 working and 500 standby tokens.
fn store_with_grant() -> BudgetStore {
    let mut record = BudgetRecord::default();
    let grant =
        HolderGrant { working: TokenCount(100), standby: TokenCount(500), use_rate: TokenRate(10) };
    record.set_grant(IncarnationId::from_number(7), grant);
    BudgetStore {
        record: RefCell::new(record),
        version: Cell::new(1),
        failing_writes: Cell::new(0),
        applies_failing_writes: false,
        presence_version: Cell::new(1),
        late_presence_version: Cell::new(None),
    }
}

/// Closes the grants of that process as its successor, which has read this version of its presence record.
fn close_grants(store: &BudgetStore, presence_version: StoreVersion) -> TakeoverOutcome {
    let ended = EndedProcess {
        instance: "front-1".parse().unwrap(),
        incarnation: IncarnationId::from_number(7),
        presence_version,
        bound: SpentBound::Age(Duration::from_millis(500)),
    };
    let log = Logger::root(Discard, o!());
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(ended.close_grants(store, &log)).unwrap()
}

/// The times of day of most instances had stepped back while the store was away, and tokens were returned that had been spent.
#[test_case(Some(2_260), Some(4_100), Some(4_100); "times of day stepped back")]
#[test_case(Some(4_100), Some(900), Some(4_100); "times of day stepped ahead")]
#[test_case(Some(1_600), Some(39_672_101), Some(1_600); "boot in between")]
#[test_case(None, Some(4_100), Some(4_100); "too few times of day")]
#[test_case(Some(4_100), None, Some(4_100); "another boot")]
#[test_case(None, None, None; "nothing known")]
fn larger_age_of_one_boot_holds(
    by_clocks: Option<u64>,
    by_boot: Option<u64>,
    expected: Option<u64>,
) {
    let age = |millis: Option<u64>| millis.map(Duration::from_millis);
    let bound = SpentBound::from_ages(age(by_clocks), age(by_boot));
    assert_eq!(bound, age(expected).map(SpentBound::Age));
}
