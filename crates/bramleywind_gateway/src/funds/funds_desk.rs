use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use bramleywind_types::{IncarnationId, InstanceId, TokenCount, WorkspaceId};
use compio::time::{sleep, timeout};
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use slog::{Logger, info, warn};

use super::{
    StoreAction, BudgetLedger, HolderGrant, Reservation, pending_reservation::PendingReservation,
};
use crate::{
    platform_api::{CommitOutcome, FleetStore},
    loans::{GiftError, LoanClient, LoanRequest, TokenGift},
};

/// How often surpluses are looked at while no request needs tokens.
const REVIEW_TIME: Duration = Duration::from_millis(250);

/// How often the others' grants are read while the own ones are idle, as a cheap read that may be stale.
const REFRESH_TIME: Duration = Duration::from_secs(2);

/// The pause after a call that the store did not answer or refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How often waiting requests are looked at for loans. Short against the targets of requests, and nothing is done
/// while none waits.
const LOAN_REVIEW_TIME: Duration = Duration::from_millis(25);

/// The most calls in a row without a pause. Conflicts beyond that wait for the others to finish.
const MOST_ROUNDS: usize = 8;

/// What a reservation came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are set aside.
    Reserved,
    /// The budget does not cover them; the store's record says so.
    Exhausted,
    /// More tokens are needed, and the store does not answer.
    Unavailable,
}

/// Hands out reservations, and draws grants from the store in the background.
#[derive(Debug)]
pub struct FundsManager {
    book: Rc<RefCell<BudgetLedger>>,
    wake: Sender<()>,
    woken: Receiver<()>,
    is_reached: Cell<bool>,
    is_stopping: Cell<bool>,
}

impl FundsManager {
    /// A desk of the process run `holder`.
    pub fn new(holder: IncarnationId) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        let book = Rc::new(RefCell::new(BudgetLedger::new(holder)));
        Self { book, wake, woken, is_reached: Cell::new(true), is_stopping: Cell::new(false) }
    }

    /// The book, for its figures.
    pub fn book(&self) -> &Rc<RefCell<BudgetLedger>> {
        &self.book
    }

    /// Sets `need` tokens of a workspace aside, waiting for a grant if the process holds too few.
    ///
    /// # Errors
    ///
    /// [`ReserveOutcome::Exhausted`] or [`ReserveOutcome::Unavailable`].
    pub async fn reserve(
        &self,
        workspace: &WorkspaceId,
        prepaid: TokenCount,
        need: TokenCount,
    ) -> Result<Reservation, ReserveOutcome> {
        let now = Instant::now();
        let reply = {
            let mut book = self.book.borrow_mut();
            book.set_prepaid(workspace, prepaid, now);
            if book.try_reserve(workspace, need, now) {
                drop(book);
                return Ok(BudgetLedger::reservation(&self.book, workspace, need));
            }
            book.wait(workspace, need, now)
        };
        // A full channel means that the desk is already woken.
        let _ = self.wake.try_send(());
        PendingReservation::new(&self.book, workspace, need, reply).await
    }

    /// Draws and returns grants until it is stopped and all is returned.
    pub async fn run(&self, store: &impl FleetStore, log: &Logger) {
        let mut refresh_at = Instant::now();
        loop {
            // The time-out is the review; it needs no handling of its own.
            let _ = timeout(REVIEW_TIME, self.woken.recv()).await;
            let mut is_idle = false;
            for _ in 0..MOST_ROUNDS {
                if !self.round(store, log).await {
                    is_idle = true;
                    break;
                }
            }
            if is_idle && self.is_stopping.get() {
                return;
            }
            if Instant::now() >= refresh_at {
                self.refresh(store).await;
                refresh_at = Instant::now() + REFRESH_TIME;
            }
        }
    }

    /// Borrows from other gateways for requests that wait in vain for the store. `lenders` names them.
    pub async fn run_loans(
        &self,
        borrower: &InstanceId,
        lenders: impl Fn() -> Vec<SocketAddr>,
        log: &Logger,
    ) {
        loop {
            sleep(LOAN_REVIEW_TIME).await;
            let wanted = self.book.borrow().wanted_loans(Instant::now());
            let loans = wanted.into_iter().map(|(workspace, tokens)| {
                let mut lenders = lenders();
                lenders.shuffle(&mut rand::rng());
                let loan = LoanRequest { borrower: borrower.clone(), workspace, tokens };
                self.borrow(loan, lenders, log)
            });
            join_all(loans).await;
        }
    }

    /// Asks one lender after the other until all wanted tokens are borrowed.
    async fn borrow(&self, mut loan: LoanRequest, lenders: Vec<SocketAddr>, log: &Logger) {
        let (wanted, mut failures) = (loan.tokens, 0);
        for lender in lenders {
            let Ok(answer) = LoanClient.borrow(lender, &loan).await else {
                failures += 1;
                continue;
            };
            let mut book = self.book.borrow_mut();
            book.take_loan(&loan.workspace, answer.tokens);
            book.resolve_waiting(Instant::now());
            loan.tokens = loan.tokens.saturating_sub(answer.tokens);
            if loan.tokens == TokenCount(0) {
                break;
            }
        }
        if loan.tokens < wanted {
            info!(log, "tokens borrowed"; "workspace" => %loan.workspace, "wanted" => wanted.0,
                "missing" => loan.tokens.0, "lenders_without_answer" => failures);
        }
    }

    /// Gives what could not be returned to the store to another gateway. What no one takes stays counted as spent.
    pub async fn hand_over(&self, donor: &InstanceId, takers: Vec<SocketAddr>, log: &Logger) {
        let gifts = self.book.borrow_mut().give_away(Instant::now());
        if gifts.is_empty() {
            return;
        }
        let tokens: TokenCount = gifts.iter().map(|(_, tokens)| *tokens).sum();
        let gift = TokenGift { donor: donor.clone(), gifts };
        for taker in takers {
            // A gift whose answer was lost may have been taken, so it is not offered again.
            let outcome = LoanClient.give(taker, &gift).await;
            info!(log, "grants handed over"; "taker" => %taker, "tokens" => tokens.0, "outcome" => ?outcome);
            if outcome != Err(GiftError::NotSent) {
                return;
            }
        }
    }

    /// From now on returns what requests do not need.
    pub fn leave(&self) {
        self.book.borrow_mut().leave();
        // A full channel means that the desk is already woken.
        let _ = self.wake.try_send(());
    }

    /// Ends [`Self::run`] once all is returned. No more requests may come.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        // A full channel means that the desk is already woken.
        let _ = self.wake.try_send(());
    }

    /// One call of the store, if one is due. True if another round may be.
    async fn round<S: FleetStore>(&self, store: &S, log: &Logger) -> bool {
        let plan = self.book.borrow_mut().plan(S::MAX_CHANGES, Instant::now());
        let is_reached = match plan {
            StoreAction::Idle => {
                self.book.borrow_mut().resolve_waiting(Instant::now());
                return false;
            }
            StoreAction::Read => match store.read_budgets(true).await {
                Ok(entries) => {
                    let mut book = self.book.borrow_mut();
                    let now = Instant::now();
                    book.apply_entries(entries, Some(now));
                    book.mark_all_read(now);
                    true
                }
                Err(reason) => {
                    info!(log, "budgets not read"; "reason" => ?reason);
                    false
                }
            },
            StoreAction::Write(changes) => {
                let outcome = store.commit_budgets(&changes, None).await;
                info!(log, "grants changed"; "budgets" => changes.len(), "outcome" => outcome_name(&outcome));
                let is_reached =
                    !matches!(outcome, CommitOutcome::NotApplied | CommitOutcome::Unknown);
                self.book.borrow_mut().apply(changes, outcome, Instant::now());
                is_reached
            }
        };
        self.note_reached(is_reached, log);
        self.book.borrow_mut().resolve_waiting(Instant::now());
        if !is_reached {
            sleep(RETRY_PAUSE).await;
        }
        true
    }

    /// Reads how much the others hold, so that a surplus shrinks with the pool.
    async fn refresh(&self, store: &impl FleetStore) {
        let holds_any = {
            let book = self.book.borrow();
            book.accounts().any(|(_, account)| account.granted() != HolderGrant::default())
        };
        if !holds_any {
            return;
        }
        // A failure needs no note: the next write shows whether the store answers.
        if let Ok(entries) = store.read_budgets(false).await {
            self.book.borrow_mut().apply_entries(entries, None);
        }
    }

    fn note_reached(&self, is_reached: bool, log: &Logger) {
        self.book.borrow_mut().set_store_reachable(is_reached);
        if self.is_reached.replace(is_reached) == is_reached {
            return;
        }
        if is_reached {
            info!(log, "dependency regained"; "dependency" => "budget records");
        } else {
            warn!(log, "dependency lost"; "dependency" => "budget records");
        }
    }
}

fn outcome_name(outcome: &CommitOutcome) -> &'static str {
    match outcome {
        CommitOutcome::Applied(_) => "applied",
        CommitOutcome::Conflict(_) => "conflict",
        CommitOutcome::NotApplied => "not applied",
        CommitOutcome::Unknown => "unknown",
    }
}
