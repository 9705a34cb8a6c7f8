//! When a budget counts as used up. Guards against a final refusal while open requests or other gateways hold tokens that will
//! not be used.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/budget_store.rs"]
mod budget_store;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use bramleywind_gateway::funds::{BudgetRecord, FundsManager, Reservation, ReserveOutcome};
use bramleywind_types::{IncarnationId, InstanceId, TokenCount, WorkspaceId};
use budget_store::BudgetStore;
use slog::{Discard, Logger, o};
use test_case::test_case;

const PREPAID: TokenCount = TokenCount(10_000);

/// The gateway that draws the grants of a budget.
struct Primary {
    funds: Rc<FundsManager>,
    workspace: WorkspaceId,
}

impl Primary {
    fn start() -> Self {
        let funds = Rc::new(FundsManager::new(IncarnationId::from_number(1)));
        let workspace: WorkspaceId = "menders".parse().unwrap();
        let now = Instant::now();
        funds.ledger().borrow_mut().set_prepaid(&workspace, PREPAID, now);
        funds.ledger().borrow_mut().set_primary(|_| true, now);
        let runner = Rc::clone(&funds);
        compio::runtime::spawn(async move {
            let store = BudgetStore {
                record: RefCell::new(BudgetRecord::default()),
                version: Cell::new(1),
                failing_writes: Cell::new(0),
                applies_failing_writes: false,
                presence_version: Cell::new(1),
                late_presence_version: Cell::new(None),
            };
            runner.run(&store, &Logger::root(Discard, o!())).await;
        })
        .detach();
        Self { funds, workspace }
    }

    async fn reserve(&self, need: u64) -> Result<Reservation, ReserveOutcome> {
        self.funds.reserve(&self.workspace, PREPAID, TokenCount(need)).await
    }
}

/// Nine tenths of a budget were reserved for open requests, and 1,329 requests of one day were refused for good with up to 44 in
/// 100 of the budget uncharged.
#[test_case(0, ReserveOutcome::Unavailable; "open request may leave everything")]
#[test_case(5_000, ReserveOutcome::Unavailable; "open request may leave enough")]
#[test_case(9_500, ReserveOutcome::Exhausted; "open request uses its tokens")]
#[compio::test]
async fn reserved_tokens_are_not_used_up(charged: u64, expected: ReserveOutcome) {
    let primary = Primary::start();
    let mut open = primary.reserve(9_500).await.unwrap();
    open.charge(TokenCount(charged));
    assert_eq!(primary.reserve(1_000).await.unwrap_err(), expected);
    drop(open);
    assert_eq!(primary.reserve(1_000).await.is_ok(), expected == ReserveOutcome::Unavailable);
}

/// A prompt that an endpoint may be reading is charged if the caller leaves, so it counts as used.
#[compio::test]
async fn exposed_prompt_counts_as_used() {
    let primary = Primary::start();
    let mut open = primary.reserve(9_500).await.unwrap();
    open.expose(TokenCount(9_400));
    assert_eq!(primary.reserve(1_000).await.unwrap_err(), ReserveOutcome::Exhausted);
    open.expose(TokenCount(0));
    assert_eq!(primary.reserve(1_000).await.unwrap_err(), ReserveOutcome::Unavailable);
}

/// A lender refused a request for good while a borrower held most of the budget for open requests.
#[test_case(0, ReserveOutcome::Exhausted; "borrower used everything")]
#[test_case(4_000, ReserveOutcome::Unavailable; "borrower may leave enough")]
#[compio::test]
async fn tokens_of_a_borrower_are_not_used_up(uncharged: u64, expected: ReserveOutcome) {
    let primary = Primary::start();
    let (funds, workspace) = (&primary.funds, &primary.workspace);
    let loan = funds.lend(workspace, TokenCount(9_500), TokenCount(9_500)).await;
    assert_eq!(loan.tokens, TokenCount(9_500));
    let borrower: InstanceId = "front-2".parse().unwrap();
    funds.ledger().borrow_mut().record_statement(
        workspace,
        &borrower,
        TokenCount(uncharged),
        Instant::now(),
    );
    assert_eq!(primary.reserve(1_000).await.unwrap_err(), expected);
}
