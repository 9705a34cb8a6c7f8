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
    BudgetRecord, EndedProcess, HolderGrant, TakeoverOutcome, TokenRate,
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
