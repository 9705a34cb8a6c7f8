use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use bramleywind_types::{IncarnationId, TokenCount, WorkspaceId};
use compio::time::{sleep, timeout};
use slog::{Logger, info, warn};

use super::{
    BudgetLedger, HolderGrant, Reservation, StoreAction, pending_reservation::PendingReservation,
};
use crate::{
    loans::LoanClient,
    platform_api::{CommitOutcome, FleetStore},
};

/// The interval at which grants are reviewed while no request needs tokens.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which other processes' grants are read. This is a cheap read that may return stale data.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// The delay after a call that the store refused or did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of store calls in a row without a pause. After further conflicts, the process waits for the
/// others to finish.
const MAX_CONSECUTIVE_CALLS: usize = 8;

/// The outcome of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved,
    /// According to the store's record, the budget does not cover the tokens.
    Exhausted,
    /// More tokens are needed, but the store does not answer.
    Unavailable,
}

/// Reserves tokens for requests, and obtains them in the background: as grants from the store, or as loans from other
/// gateways.
#[derive(Debug)]
pub struct FundsManager {
    pub(super) ledger: Rc<RefCell<BudgetLedger>>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
    /// Wakes the task that borrows tokens.
    pub(super) loan_wake: (Sender<()>, Receiver<()>),
    pub(super) loan_client: LoanClient,
    /// Wakes the task that raises ceilings.
    ceiling_wake: (Sender<()>, Receiver<()>),
    is_store_reachable: Cell<bool>,
    is_stopping: Cell<bool>,
}

impl FundsManager {
    /// Creates a manager for the process identified by `holder`.
    pub fn new(holder: IncarnationId) -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        let ledger = Rc::new(RefCell::new(BudgetLedger::new(holder)));
        Self {
            ledger,
            wake_sender,
            wake_receiver,
            loan_wake: async_channel::bounded(1),
            loan_client: LoanClient::default(),
            ceiling_wake: async_channel::bounded(1),
            is_store_reachable: Cell::new(true),
            is_stopping: Cell::new(false),
        }
    }

    /// Returns the client for calls to other gateways.
    pub fn loan_client(&self) -> &LoanClient {
        &self.loan_client
    }

    /// Returns the ledger of this process's budget accounts.
    pub fn ledger(&self) -> &Rc<RefCell<BudgetLedger>> {
        &self.ledger
    }

    /// Reserves `need` tokens of a workspace, and waits for a grant if the process holds too few.
    ///
    /// # Errors
    ///
    /// Returns [`ReserveOutcome::Exhausted`] or [`ReserveOutcome::Unavailable`] if the tokens could not be reserved.
    pub async fn reserve(
        &self,
        workspace: &WorkspaceId,
        prepaid: TokenCount,
        need: TokenCount,
    ) -> Result<Reservation, ReserveOutcome> {
        let now = Instant::now();
        let reply = {
            let mut ledger = self.ledger.borrow_mut();
            ledger.set_prepaid(workspace, prepaid, now);
            if ledger.try_reserve(workspace, need, now) {
                drop(ledger);
                return Ok(BudgetLedger::reservation(&self.ledger, workspace, need));
            }
            ledger.enqueue(workspace, need, now)
        };
        self.wake_run();
        self.wake_loans();
        // A full channel means that a wake-up is already pending.
        let _ = self.ceiling_wake.0.try_send(());
        PendingReservation::new(&self.ledger, workspace, need, reply).await
    }

    /// Obtains and returns grants until the manager is stopped and all unused tokens are returned.
    pub async fn run(&self, store: &impl FleetStore, log: &Logger) {
        let mut refresh_at = Instant::now();
        loop {
            // A timeout starts the periodic review, which is the same work as after a wake-up.
            let _ = timeout(REVIEW_INTERVAL, self.wake_receiver.recv()).await;
            let mut is_idle = false;
            for _ in 0..MAX_CONSECUTIVE_CALLS {
                if !self.call_store(store, log).await {
                    is_idle = true;
                    break;
                }
            }
            if is_idle && self.is_stopping.get() {
                return;
            }
            if Instant::now() >= refresh_at {
                self.refresh_records(store).await;
                refresh_at = Instant::now() + REFRESH_INTERVAL;
            }
        }
    }

    /// Starts to return all tokens that requests do not need.
    pub fn leave(&self) {
        self.ledger.borrow_mut().leave();
        self.wake_run();
    }

    /// Makes [`Self::run`] end once all unused tokens are returned. No requests may be made after this.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        self.wake_run();
    }

    /// Waits until a request needs tokens, or until `time_limit` has passed.
    pub async fn wait_for_need(&self, time_limit: Duration) {
        // A timeout starts the periodic review, which is the same work as after a wake-up.
        let _ = timeout(time_limit, self.ceiling_wake.1.recv()).await;
    }

    /// Wakes the task that borrows tokens.
    fn wake_loans(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.loan_wake.0.try_send(());
    }

    /// Wakes the task that calls the store.
    pub(super) fn wake_run(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake_sender.try_send(());
    }

    /// Makes one call to the store if one is due. Returns `true` if another call may be due.
    async fn call_store<S: FleetStore>(&self, store: &S, log: &Logger) -> bool {
        let action = self.ledger.borrow_mut().plan_call(S::MAX_CHANGES, Instant::now());
        if !self.is_store_reachable.get() && matches!(action, StoreAction::Write(_)) {
            // A write without an answer leaves the smaller of two grants. A cheap read checks first that the store
            // answers.
            if store.read_budgets(false).await.is_err() {
                self.revert_writes(action);
                self.ledger.borrow_mut().resolve_waiting(Instant::now());
                sleep(RETRY_DELAY).await;
                return true;
            }
        }
        let is_store_reachable = match action {
            StoreAction::Idle => {
                self.ledger.borrow_mut().resolve_waiting(Instant::now());
                return false;
            }
            StoreAction::Read => match store.read_budgets(true).await {
                Ok(entries) => {
                    let mut ledger = self.ledger.borrow_mut();
                    let now = Instant::now();
                    ledger.apply_entries(entries, Some(now));
                    ledger.mark_all_read(now);
                    true
                }
                Err(reason) => {
                    info!(log, "budgets not read"; "reason" => ?reason);
                    false
                }
            },
            StoreAction::Write(changes) => {
                let outcome = store.commit_budgets(&changes, None).await;
                let workspaces: Vec<_> =
                    changes.iter().map(|change| change.workspace.as_str()).collect();
                info!(log, "grants changed"; "workspaces" => workspaces.join(","), "outcome" => outcome_name(&outcome));
                let is_store_reachable =
                    !matches!(outcome, CommitOutcome::NotApplied | CommitOutcome::Unknown);
                self.ledger.borrow_mut().apply_outcome(changes, outcome, Instant::now());
                is_store_reachable
            }
        };
        self.update_reachability(is_store_reachable, log);
        self.ledger.borrow_mut().resolve_waiting(Instant::now());
        if !is_store_reachable {
            sleep(RETRY_DELAY).await;
        }
        true
    }

    /// Drops planned writes that were not sent.
    fn revert_writes(&self, action: StoreAction) {
        if let StoreAction::Write(changes) = action {
            let now = Instant::now();
            self.ledger.borrow_mut().apply_outcome(changes, CommitOutcome::NotApplied, now);
        }
    }

    /// Reads the grants of other processes, so that this process's unused tokens shrink with the pool.
    async fn refresh_records(&self, store: &impl FleetStore) {
        let has_grants = {
            let ledger = self.ledger.borrow();
            ledger.accounts().any(|(_, account)| account.granted() != HolderGrant::default())
        };
        if !has_grants {
            return;
        }
        // A failure is not recorded: the next write shows whether the store answers.
        if let Ok(entries) = store.read_budgets(false).await {
            self.ledger.borrow_mut().apply_entries(entries, None);
        }
    }

    fn update_reachability(&self, is_store_reachable: bool, log: &Logger) {
        self.ledger.borrow_mut().set_store_reachable(is_store_reachable);
        if self.is_store_reachable.replace(is_store_reachable) == is_store_reachable {
            return;
        }
        if is_store_reachable {
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
