//! Checks the ceilings that a witness knows. Guards against a process that spends more than its witness can tell.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_gateway::{
    funds::{
        BudgetLedger, BudgetRecord, HolderGrant, SpentBound, StoreAction, TokenRate, plan_takeover,
    },
    platform_api::{BudgetEntry, CommitOutcome},
};
use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount, WorkspaceId};
use test_case::test_case;

const PREPAID: TokenCount = TokenCount(1_000_000);

fn menders() -> WorkspaceId {
    "menders".parse().unwrap()
}

/// Returns a primary that has drawn a grant and named a witness, and the present time.
fn witnessed_ledger() -> (BudgetLedger, Instant) {
    let start = Instant::now();
    let mut ledger = BudgetLedger::new(IncarnationId::from_number(1));
    ledger.set_prepaid(&menders(), PREPAID, start);
    ledger.set_primary(|_| true, start);
    let now = start + Duration::from_secs(3);
    ledger.record_presence(now);
    ledger.confirm_presence();
    ledger.try_reserve(&menders(), TokenCount(5_000), now);
    let StoreAction::Write(changes) = ledger.plan_call(15, now) else { panic!("no write is due") };
    ledger.apply_outcome(changes, CommitOutcome::Applied(StoreVersion(1)), now);
    ledger.begin_witness(now);
    (ledger, now)
}

#[test]
fn nothing_is_spent_above_the_ceiling() {
    let (mut ledger, now) = witnessed_ledger();
    let ceiling = ledger.account(&menders()).unwrap().ceiling().unwrap();
    assert!(ceiling < ledger.account(&menders()).unwrap().granted().working);
    assert!(!ledger.try_reserve(&menders(), TokenCount(ceiling.0 + 1), now));
    assert!(ledger.try_reserve(&menders(), ceiling, now));
    let wanted = ledger.wanted_ceilings(now);
    assert!(wanted[&menders()] > ceiling);
    ledger.raise_ceilings(&wanted);
    assert!(ledger.try_reserve(&menders(), TokenCount(1), now));
}

/// A budget that is new to the process would otherwise be spent from without the witness's knowledge.
#[test]
fn new_budget_begins_without_a_ceiling_of_its_own() {
    let (mut ledger, now) = witnessed_ledger();
    let other: WorkspaceId = "riggers".parse().unwrap();
    ledger.set_prepaid(&other, PREPAID, now);
    assert_eq!(ledger.account(&other).unwrap().ceiling(), Some(TokenCount(0)));
}

/// The witness of a process ended while the process was cut off from the store. The successor of the witness returned the standby tokens,
/// since none could have been confirmed, and the process spent them below a ceiling of before.
#[test]
fn answer_from_before_a_presence_record_raises_no_ceiling() {
    let (mut ledger, now) = witnessed_ledger();
    let ceiling = ledger.account(&menders()).unwrap().ceiling().unwrap();
    assert!(ledger.try_reserve(&menders(), ceiling, now));
    let wanted = ledger.wanted_ceilings(now);
    ledger.record_presence(now);
    ledger.raise_ceilings(&wanted);
    assert_eq!(ledger.account(&menders()).unwrap().ceiling(), Some(ceiling));
}

const GRANT: HolderGrant =
    HolderGrant { working: TokenCount(100), standby: TokenCount(500), use_rate: TokenRate(10) };

#[test_case(0, Some(0); "nothing spent")]
#[test_case(40, Some(40); "working tokens spent")]
#[test_case(250, Some(250); "standby tokens spent")]
#[test_case(600, None; "all spent")]
#[test_case(900, None; "ceiling from before tokens were returned")]
fn ended_process_keeps_no_more_than_its_ceiling(ceiling: u64, counted: Option<u64>) {
    let holder = IncarnationId::from_number(7);
    let mut record = BudgetRecord::default();
    record.set_grant(holder, GRANT);
    let entry = BudgetEntry { workspace: menders(), version: StoreVersion(1), record };
    let bound = SpentBound::Ceilings(BTreeMap::from([(menders(), TokenCount(ceiling))]));
    let changes = plan_takeover(holder, vec![entry], &bound);
    let total = counted.unwrap_or(GRANT.total().0);
    assert_eq!(changes[0].record.pool(TokenCount(1_000)), TokenCount(1_000 - total));
    assert_eq!(changes[0].record.grant(holder).standby, TokenCount(0));
}
