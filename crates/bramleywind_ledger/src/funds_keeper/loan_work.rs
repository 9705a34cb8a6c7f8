//! Gives loans to other routers, and brings lenders the messages that they must not miss.

use std::time::Duration;

use bramleywind_store::Store;
use bramleywind_types::TokenCount;
use futures_util::future::join_all;

use super::{
    FundsKeeper, keeper_state::KeeperState, page_state::LateSettlement,
    pending_shares::PendingShares, reserving::CoverOutcome,
};
use crate::{
    JournalLink, LoanId, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome,
    loan_desk::{GivenLoan, LoanDesk, LoanMessage, LoanMessageContent},
};

/// How long a lender waits for a witness. Its borrower's caller waits as well.
const LOAN_COVER_TIME: Duration = Duration::from_millis(500);

impl<S: Store, L: JournalLink> FundsKeeper<S, L> {
    pub(super) async fn give_loan(&self, request: &LoanRequest) -> LoanOutcome {
        let (borrower, number) = (request.borrower, request.number);
        let mut shares = PendingShares::new(&self.core, &request.budget);
        let (deadline, takes_grant) = {
            let mut state = self.state();
            match state.loans.given(borrower, number) {
                None => {}
                Some(GivenLoan::Pending) => return LoanOutcome::Unreachable,
                Some(GivenLoan::Nothing) => return LoanOutcome::Nothing,
                Some(GivenLoan::Lent { loan, budget, tokens, .. }) => {
                    // A loan of an incarnation that was sealed meanwhile is counted by its reclaim. Its
                    // borrower must learn its name, to settle it in the store.
                    let is_open = loan.incarnation != state.incarnation
                        || state.journal.open_tokens(budget, loan.reservation).is_some();
                    let lent = LoanOutcome::Lent { loan: *loan, tokens: *tokens };
                    return if is_open { lent } else { LoanOutcome::Nothing };
                }
            }
            let is_home = state.page_home(&request.budget) == state.settings.instance;
            let is_short = state.available(&request.budget) < request.tokens;
            state.answer_loan(request, GivenLoan::Pending);
            (state.now() + LOAN_COVER_TIME, is_home && is_short && !state.stopping)
        };
        if takes_grant {
            // The home takes grants for its borrowers. Whatever comes of it, the slice decides.
            let _answer = self.await_grant(&request.budget, request.tokens, deadline).await;
        }
        let tokens = {
            let mut state = self.state();
            let tokens = state.available(&request.budget).min(request.tokens);
            if tokens == TokenCount(0) || state.stopping {
                state.answer_loan(request, GivenLoan::Nothing);
                return LoanOutcome::Nothing;
            }
            tokens
        };
        // If this future is dropped, the share is handed back and the answer stays pending: the borrower
        // goes on asking until it learns that the loan does not exist.
        // The journal does not name the key: a repeat of the request that is funded by a loan of its own
        // must not take back what is counted for that loan (see `BudgetRecord::resolve_key`).
        shares.claim(tokens, None);
        let covered = self.await_cover(shares.own_entry(), deadline).await;
        let entry = shares.own_entry();
        let (CoverOutcome::Covered, Some((incarnation, reservation))) = (covered, entry) else {
            self.state().answer_loan(request, GivenLoan::Nothing);
            return LoanOutcome::Nothing;
        };
        let loan = LoanId { incarnation, reservation };
        let _lent = shares.complete();
        let mut state = self.state();
        let expiry = LoanDesk::expiry(state.now());
        let budget = request.budget.clone();
        state.answer_loan(request, GivenLoan::Lent { loan, budget, tokens, expiry });
        LoanOutcome::Lent { loan, tokens }
    }

    /// Sends all due messages to lenders.
    pub(super) async fn loan_message_round(&self, messages: Vec<LoanMessage>) {
        let answered = join_all(messages.iter().map(|message| self.deliver(message))).await;
        {
            let mut state = self.state();
            let (now, jitter) = (state.now(), state.jitter());
            state.loans.messages_in_flight = false;
            for (mut message, is_answered) in messages.into_iter().zip(answered) {
                if is_answered {
                    continue;
                }
                message.retry.record_failure(now, jitter);
                // A lender that can't be reached may be dead, and its slice be reclaimed with the loan in
                // it. Only one of the two ways finds the loan open.
                if message.needs_store()
                    && let LoanMessageContent::Settle(settlement) = &message.content
                {
                    state.settle_late(late_loan(&message, settlement));
                    message.settles_late = true;
                }
                if !message.is_hopeless() {
                    state.loans.messages.push(message);
                }
            }
        }
        self.notify_all();
    }

    /// Returns whether the lender need not be told any more.
    async fn deliver(&self, message: &LoanMessage) -> bool {
        let settlement = match &message.content {
            LoanMessageContent::Settle(settlement) => settlement.clone(),
            LoanMessageContent::Cancel(request) => {
                match self.shared.link.borrow(&message.lender, request).await {
                    LoanOutcome::Lent { loan, .. } => {
                        LoanSettlement { loan, billed: TokenCount(0) }
                    }
                    LoanOutcome::Nothing => return true,
                    LoanOutcome::Unreachable => return false,
                }
            }
        };
        match self.shared.link.settle_loan(&message.lender, &settlement).await {
            SettlementOutcome::Settled => {
                if message.settles_late {
                    self.state().withdraw_late(&late_loan(message, &settlement));
                }
                true
            }
            SettlementOutcome::Unknown => {
                if !message.settles_late {
                    self.state().settle_late(late_loan(message, &settlement));
                }
                true
            }
            SettlementOutcome::Unreachable => false,
        }
    }
}

impl KeeperState {
    pub(super) fn take_due_messages(&mut self) -> Vec<LoanMessage> {
        if self.loans.messages_in_flight {
            return Vec::new();
        }
        let now = self.now();
        let messages = std::mem::take(&mut self.loans.messages);
        let (due, kept): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|message| message.retry.is_due(now));
        self.loans.messages = kept;
        self.loans.messages_in_flight = !due.is_empty();
        due
    }

    pub(super) fn take_settlement(&mut self, settlement: &LoanSettlement) -> SettlementOutcome {
        let loan = settlement.loan;
        if loan.incarnation != self.incarnation {
            return SettlementOutcome::Unknown;
        }
        if let Some(budget) = self.journal.budget_of(loan.reservation).cloned() {
            self.settle_share(&budget, loan.incarnation, loan.reservation, settlement.billed);
        }
        SettlementOutcome::Settled
    }

    fn answer_loan(&mut self, request: &LoanRequest, answer: GivenLoan) {
        let forgotten = self.loans.answer(request.borrower, request.number, answer);
        if let Some((loan, budget)) = forgotten {
            self.bill_in_full(&budget, loan);
        }
    }
}

fn late_loan(message: &LoanMessage, settlement: &LoanSettlement) -> LateSettlement {
    LateSettlement {
        budget: message.budget.clone(),
        incarnation: settlement.loan.incarnation,
        reservation: settlement.loan.reservation,
        billed: settlement.billed,
    }
}
