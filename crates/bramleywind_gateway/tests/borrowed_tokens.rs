//! Guards against an overspend of a gateway that draws grants while it holds more borrowed tokens than it needs: they belong to
//! another gateway's grant already.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::funds::{BudgetLedger, BudgetRecord, HolderGrant, StoreAction, TokenRate};
use bramleywind_gateway::platform_api::BudgetEntry;
use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount, WorkspaceId};
use test_case::test_case;

const PREPAID: TokenCount = TokenCount(1_000_000);

fn grant(working: u64, standby: u64) -> HolderGrant {
    HolderGrant {
        working: TokenCount(working),
        standby: TokenCount(standby),
        use_rate: TokenRate(0),
    }
}

/// The other gateway has lent `borrowed` tokens of its grant; all of the budget is granted.
#[test_case(0; "nothing borrowed")]
#[test_case(50_000; "some borrowed tokens")]
#[test_case(400_000; "more borrowed tokens than used")]
fn grants_never_exceed_the_prepaid_total(borrowed: u64) {
    let (own, other) = (IncarnationId::from_number(1), IncarnationId::from_number(2));
    let now = Instant::now();
    let workspace: WorkspaceId = "menders".parse().unwrap();
    let mut ledger = BudgetLedger::new(own);
    ledger.set_prepaid(&workspace, PREPAID, now);
    let mut record = BudgetRecord::default();
    record.set_grant(own, grant(60_000, 90_000));
    record.set_grant(other, grant(850_000, 0));
    let entry = BudgetEntry { workspace: workspace.clone(), version: StoreVersion(5), record };
    ledger.apply_entries(vec![entry], Some(now));
    ledger.accept_loan(&workspace, TokenCount(borrowed));
    for _ in 0..20 {
        assert!(ledger.try_reserve(&workspace, TokenCount(2_000), now));
    }
    ledger.record_presence(now);
    ledger.confirm_presence();
    // A new primary draws ahead of its use only after a while.
    ledger.set_primary(|_| true, now);
    let later = now + Duration::from_secs(3);
    ledger.record_presence(later);
    ledger.confirm_presence();
    let StoreAction::Write(changes) = ledger.plan_call(8, later) else { return };
    for change in changes {
        let granted = change.record.grant(own).total().0 + change.record.grant(other).total().0;
        assert!(granted <= PREPAID.0, "{granted} tokens granted: {:?}", change.record);
    }
}
