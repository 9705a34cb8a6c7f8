//! Checks what a process may spend while the outcome of a write of its grant is unknown. Guards against tokens that become
//! unusable through writes which were never applied.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::{
    funds::{BudgetLedger, HolderGrant, StoreAction},
    platform_api::{BudgetChange, CommitOutcome},
};
use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount, WorkspaceId};

const MAX_CHANGES: usize = 15;

fn plan_write(ledger: &mut BudgetLedger, now: Instant) -> Vec<BudgetChange> {
    match ledger.plan_call(MAX_CHANGES, now) {
        StoreAction::Write(changes) => changes,
        action => panic!("no write is due: {action:?}"),
    }
}

fn granted(ledger: &BudgetLedger, workspace: &WorkspaceId) -> HolderGrant {
    ledger.account(workspace).unwrap().granted()
}

/// In a cut of the store, the first write had no answer, and each later one that was refused left the smaller of two grants
/// again, until no standby tokens were left.
#[test]
fn refused_write_does_not_reduce_a_grant_in_doubt() {
    let workspace: WorkspaceId = "menders".parse().unwrap();
    let start = Instant::now();
    let mut ledger = BudgetLedger::new(IncarnationId::from_number(1));
    ledger.set_prepaid(&workspace, TokenCount(1_000_000), start);
    ledger.set_primary(|_| true, start);
    let now = start + Duration::from_secs(3);
    ledger.record_presence(now);
    ledger.confirm_presence();
    ledger.try_reserve(&workspace, TokenCount(5_000), now);
    let changes = plan_write(&mut ledger, now);
    ledger.apply_outcome(changes, CommitOutcome::Applied(StoreVersion(1)), now);
    let available = granted(&ledger, &workspace).working.0;
    assert!(ledger.try_reserve(&workspace, TokenCount(available), now));
    let changes = plan_write(&mut ledger, now);
    ledger.apply_outcome(changes, CommitOutcome::Unknown, now);
    let in_doubt = granted(&ledger, &workspace);
    assert!(in_doubt.standby > TokenCount(0));
    for second in 1..20 {
        // The use falls, so each write asks for fewer standby tokens.
        let changes = plan_write(&mut ledger, now + Duration::from_secs(second));
        ledger.apply_outcome(changes, CommitOutcome::NotApplied, now);
        assert_eq!(granted(&ledger, &workspace), in_doubt);
    }
}

/// A process returned tokens, and the answer was lost. It needed no other tokens after that, so it wrote nothing, and 5 in 100 of a
/// budget could be used by nobody until the end of the day.
#[test]
fn write_in_doubt_is_settled_without_need() {
    let workspace: WorkspaceId = "menders".parse().unwrap();
    let start = Instant::now();
    let mut ledger = BudgetLedger::new(IncarnationId::from_number(1));
    ledger.set_prepaid(&workspace, TokenCount(1_000_000), start);
    ledger.set_primary(|_| true, start);
    let now = start + Duration::from_secs(3);
    ledger.try_reserve(&workspace, TokenCount(5_000), now);
    let changes = plan_write(&mut ledger, now);
    ledger.apply_outcome(changes, CommitOutcome::Applied(StoreVersion(1)), now);
    let before = granted(&ledger, &workspace);
    // Another process draws for the budget now, so this one returns most tokens.
    let later = now + Duration::from_secs(60);
    ledger.set_primary(|_| false, later);
    let changes = plan_write(&mut ledger, later);
    ledger.apply_outcome(changes, CommitOutcome::Unknown, later);
    assert!(granted(&ledger, &workspace).working < before.working);
    let mut version = 1;
    while let StoreAction::Write(changes) = ledger.plan_call(MAX_CHANGES, later) {
        version += 1;
        assert!(version < 5, "the writes do not end");
        assert_eq!(changes[0].expected, StoreVersion(version - 1));
        ledger.apply_outcome(changes, CommitOutcome::Applied(StoreVersion(version)), later);
    }
    assert!(version > 1, "nothing is written");
    let held = ledger.account(&workspace).unwrap();
    assert_eq!(held.granted().working.0 + held.pool().0, 1_000_000);
}

/// A process took standby tokens while the answers to its presence records were lost. It died, its successor found no record of
/// it, and a third of the budget stayed counted as spent.
#[test]
fn unconfirmed_presence_record_allows_no_standby_tokens() {
    let workspace: WorkspaceId = "menders".parse().unwrap();
    let start = Instant::now();
    let mut ledger = BudgetLedger::new(IncarnationId::from_number(1));
    ledger.set_prepaid(&workspace, TokenCount(1_000_000), start);
    ledger.set_primary(|_| true, start);
    let now = start + Duration::from_secs(3);
    ledger.record_presence(now);
    ledger.try_reserve(&workspace, TokenCount(5_000), now);
    let changes = plan_write(&mut ledger, now);
    ledger.apply_outcome(changes, CommitOutcome::Applied(StoreVersion(1)), now);
    assert_eq!(granted(&ledger, &workspace).standby, TokenCount(0));
    ledger.confirm_presence();
    let changes = plan_write(&mut ledger, now);
    ledger.apply_outcome(changes, CommitOutcome::Applied(StoreVersion(2)), now);
    assert!(granted(&ledger, &workspace).standby > TokenCount(0));
}
