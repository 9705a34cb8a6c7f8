use std::{
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use bramleywind_types::{InstanceId, TokenCount, WorkspaceId};
use compio::time::{sleep, timeout};
use futures_util::{
    StreamExt,
    future::{join_all, select},
    stream::FuturesUnordered,
};
use slog::{Logger, info};

use super::{BudgetAccount, FundsManager, LoanOutcome, ReserveOutcome, WantedLoan};
use crate::loans::{GiftError, LoanAnswer, LoanRequest, TokenGift};

/// The interval at which budgets are checked for needed loans. It is short compared to the latency targets of requests.
const LOAN_REVIEW_INTERVAL: Duration = Duration::from_millis(25);

/// The interval at which borrowed tokens are returned that are not needed.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// How long a lender waits for the store for a loan. The borrower asks another gateway after its own timeout, which is
/// longer.
pub const LEND_PATIENCE: Duration = Duration::from_millis(80);

/// Loans to and from other gateways.
impl FundsManager {
    /// Lends tokens of a workspace to another gateway: up to `wanted`, and at least `needed` unless there are too few. Waits
    /// for a grant if this process holds too few.
    pub async fn lend(
        &self,
        workspace: &WorkspaceId,
        needed: TokenCount,
        wanted: TokenCount,
    ) -> LoanAnswer {
        let now = Instant::now();
        let (tokens, prepaid) = {
            let mut ledger = self.ledger.borrow_mut();
            let Some(prepaid) = ledger.account(workspace).map(BudgetAccount::prepaid) else {
                return LoanAnswer { tokens: TokenCount(0), is_exhausted: false };
            };
            (ledger.lend(workspace, needed, wanted, now), prepaid)
        };
        self.wake_run();
        if tokens >= needed {
            return LoanAnswer { tokens, is_exhausted: false };
        }
        match timeout(LEND_PATIENCE, self.reserve(workspace, prepaid, needed)).await {
            Ok(Ok(reservation)) => LoanAnswer { tokens: reservation.lend(), is_exhausted: false },
            Ok(Err(outcome)) => {
                let is_exhausted = outcome == ReserveOutcome::Exhausted;
                LoanAnswer { tokens: TokenCount(0), is_exhausted }
            }
            Err(_) => LoanAnswer { tokens: TokenCount(0), is_exhausted: false },
        }
    }

    /// Adds tokens that another gateway gave. Returns `false` if this process has no account for the workspace.
    pub fn accept_gift(&self, workspace: &WorkspaceId, tokens: TokenCount) -> bool {
        let mut ledger = self.ledger.borrow_mut();
        let is_accepted = ledger.accept_loan(workspace, tokens);
        ledger.resolve_waiting(Instant::now());
        is_accepted
    }

    /// Borrows tokens from other gateways for the requests of this one. `lenders` returns the addresses of the gateways to
    /// ask for a workspace's tokens, in order.
    pub async fn run_loans(
        &self,
        borrower: &InstanceId,
        lenders: impl Fn(&WorkspaceId) -> Vec<SocketAddr>,
        log: &Logger,
    ) {
        let mut loans = FuturesUnordered::new();
        loop {
            let wanted = self.ledger.borrow_mut().begin_loans(Instant::now());
            for loan in wanted {
                let lenders = lenders(&loan.workspace);
                loans.push(self.borrow_tokens(borrower, loan, lenders, log));
            }
            let wake = timeout(LOAN_REVIEW_INTERVAL, self.loan_wake.1.recv());
            if loans.is_empty() {
                // A timeout starts the periodic review.
                let _ = wake.await;
            } else {
                // Whichever ends first, the loans are reviewed again.
                let _ = select(pin!(wake), loans.next()).await;
            }
        }
    }

    /// Asks lenders in turn until one answers.
    async fn borrow_tokens(
        &self,
        borrower: &InstanceId,
        loan: WantedLoan,
        lenders: Vec<SocketAddr>,
        log: &Logger,
    ) {
        let (mut needed, mut wanted, mut failures) = (loan.needed, loan.wanted, 0);
        let mut outcome = LoanOutcome::NoAnswer;
        for lender in self.loan_client.order_by_health(lenders) {
            let (workspace, borrower) = (loan.workspace.clone(), borrower.clone());
            let uncharged = self.ledger.borrow().uncharged(&loan.workspace, Instant::now());
            let request = LoanRequest { borrower, workspace, tokens: wanted, needed, uncharged };
            let answer = self.loan_client.request_loan(lender, &request).await;
            let mut ledger = self.ledger.borrow_mut();
            let lent = answer.as_ref().map_or(TokenCount(0), |answer| answer.tokens);
            ledger.count_loan(&loan.workspace, lent);
            let Ok(answer) = answer else {
                failures += 1;
                continue;
            };
            ledger.accept_loan(&loan.workspace, answer.tokens);
            ledger.resolve_waiting(Instant::now());
            (needed, wanted) =
                (needed.saturating_sub(answer.tokens), wanted.saturating_sub(answer.tokens));
            // Another lender would draw from the same pool, and its writes would conflict with this one's.
            outcome = match answer.is_exhausted {
                true => LoanOutcome::Exhausted,
                false => LoanOutcome::Answered,
            };
            break;
        }
        if wanted < loan.wanted || needed > TokenCount(0) {
            info!(log, "tokens borrowed"; "workspace" => %loan.workspace, "needed" => loan.needed.0,
                "wanted" => loan.wanted.0, "missing" => needed.0, "outcome" => ?outcome,
                "lenders_without_answer" => failures);
        }
        self.ledger.borrow_mut().end_loan(&loan, wanted, outcome, Instant::now());
        if outcome == LoanOutcome::NoAnswer {
            self.wake_run();
        }
    }

    /// Returns borrowed tokens that this process does not need. `lenders` is the same as in [`Self::run_loans`].
    pub async fn run_returns(
        &self,
        borrower: &InstanceId,
        lenders: impl Fn(&WorkspaceId) -> Vec<SocketAddr>,
        log: &Logger,
    ) {
        loop {
            sleep(RETURN_INTERVAL).await;
            let excess = self.ledger.borrow_mut().take_excess(Instant::now());
            let returns = excess.into_iter().map(|(workspace, tokens)| {
                let lender = lenders(&workspace).first().copied();
                self.return_tokens(borrower, workspace, tokens, lender, log)
            });
            join_all(returns).await;
        }
    }

    /// Returns borrowed tokens to the gateway that lends them.
    async fn return_tokens(
        &self,
        donor: &InstanceId,
        workspace: WorkspaceId,
        tokens: TokenCount,
        lender: Option<SocketAddr>,
        log: &Logger,
    ) {
        let gift = TokenGift { donor: donor.clone(), gifts: vec![(workspace.clone(), tokens)] };
        let outcome = match lender {
            Some(lender) => self.loan_client.offer_gift(lender, &gift).await,
            None => Err(GiftError::NotSent),
        };
        match outcome {
            Ok(()) => {}
            Err(GiftError::NotSent) => {
                self.ledger.borrow_mut().accept_loan(&workspace, tokens);
            }
            Err(GiftError::Unknown) => {
                info!(log, "returned tokens may be lost; they stay counted as spent";
                "workspace" => %workspace, "tokens" => tokens.0, "lender" => ?lender)
            }
        }
    }

    /// Gives tokens that could not be returned to the store to another gateway. Tokens that no gateway accepts stay
    /// counted as spent.
    pub async fn hand_over(&self, donor: &InstanceId, recipients: Vec<SocketAddr>, log: &Logger) {
        let gifts = self.ledger.borrow_mut().give_away(Instant::now());
        if gifts.is_empty() {
            return;
        }
        let tokens: TokenCount = gifts.iter().map(|(_, tokens)| *tokens).sum();
        let gift = TokenGift { donor: donor.clone(), gifts };
        for recipient in recipients {
            // A gift whose answer was lost may have been accepted, so it is not offered again.
            let outcome = self.loan_client.offer_gift(recipient, &gift).await;
            info!(log, "grants handed over"; "taker" => %recipient, "tokens" => tokens.0, "outcome" => ?outcome);
            if outcome != Err(GiftError::NotSent) {
                return;
            }
        }
    }
}
