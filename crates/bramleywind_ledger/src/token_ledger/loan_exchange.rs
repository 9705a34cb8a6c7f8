//! Gives loans to other routers, and delivers settlements and cancellations to the lenders of this one.

use std::time::Duration;

use bramleywind_store::Store;
use bramleywind_types::TokenCount;
use futures_util::future::join_all;

use super::{
    TokenLedger, ledger_state::LedgerState, page_state::LateSettlement,
    pending_shares::PendingShares, token_reservation::AcknowledgeOutcome,
};
use crate::{
    JournalLink, LoanId, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome,
    loan_registry::{LoanMessage, LoanMessageContent, LoanRegistry, LoanReply},
};

/// How long a lender waits for a grant and its witnesses. The borrower's caller waits meanwhile, too.
const LOAN_REPLY_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Store, L: JournalLink> TokenLedger<S, L> {
    /// Reserves tokens in this router's slice for a borrower. A repeated request returns the same loan.
    pub(super) async fn give_loan(&self, request: &LoanRequest) -> LoanOutcome {
        let (borrower, number) = (request.borrower, request.number);
        let mut shares = PendingShares::new(&self.core, &request.budget);
        let (deadline, takes_grant) = {
            let mut state = self.state();
            match state.loans.reply(borrower, number) {
                None => {}
                Some(LoanReply::Pending) => return LoanOutcome::Unreachable,
                Some(LoanReply::Nothing) => return LoanOutcome::Nothing,
                Some(LoanReply::Lent { loan, budget, tokens, .. }) => {
                    // A loan of an incarnation that has been sealed since is counted by the reclaim. The
                    // borrower needs its id to settle it in the store.
                    let is_open = loan.incarnation != state.incarnation
                        || state.journal.open_tokens(budget, loan.reservation).is_some();
                    let lent = LoanOutcome::Lent { loan: *loan, tokens: *tokens };
                    return if is_open { lent } else { LoanOutcome::Nothing };
                }
            }
            let is_home = state.page_home(&request.budget) == state.settings.instance;
            let is_short = state.available(&request.budget) < request.tokens;
            state.record_loan_reply(request, LoanReply::Pending);
            (state.now() + LOAN_REPLY_TIMEOUT, is_home && is_short && !state.stopping)
        };
        if takes_grant {
            // A page home takes grants for its borrowers. The outcome does not matter, since the loan
            // depends on what the slice has afterwards.
            let _outcome = self.await_grant(&request.budget, request.tokens, deadline).await;
        }
        let tokens = {
            let mut state = self.state();
            let tokens = state.available(&request.budget).min(request.tokens);
            if tokens == TokenCount(0) || state.stopping {
                state.record_loan_reply(request, LoanReply::Nothing);
                return LoanOutcome::Nothing;
            }
            tokens
        };
        // If this future is dropped, the share is returned to the slice and the reply stays pending. The
        // borrower repeats the request until the answer is that there is no loan, or its attempts are exhausted.
        // The journal entry has no request key: a repeat of the request that is funded by another loan
        // must not refund the tokens that are counted for this one (see `BudgetRecord::resolve_key`).
        shares.reserve_own(tokens, None);
        let outcome = self.await_acknowledgement(shares.own_entry(), deadline).await;
        let entry = shares.own_entry();
        let (AcknowledgeOutcome::Acknowledged, Some((incarnation, reservation))) = (outcome, entry)
        else {
            self.state().record_loan_reply(request, LoanReply::Nothing);
            return LoanOutcome::Nothing;
        };
        let loan = LoanId { incarnation, reservation };
        let _lent = shares.into_reservation();
        let mut state = self.state();
        let expiry = LoanRegistry::expiry(state.now());
        let budget = request.budget.clone();
        state.record_loan_reply(request, LoanReply::Lent { loan, budget, tokens, expiry });
        LoanOutcome::Lent { loan, tokens }
    }

    /// Sends the due messages to their lenders, and queues those that failed for a retry.
    pub(super) async fn send_loan_messages(&self, messages: Vec<LoanMessage>) {
        let delivered =
            join_all(messages.iter().map(|message| self.deliver_loan_message(message))).await;
        {
            let mut state = self.state();
            let (now, jitter) = (state.now(), state.jitter());
            state.loans.messages_in_flight = false;
            for (mut message, is_delivered) in messages.into_iter().zip(delivered) {
                if is_delivered {
                    continue;
                }
                message.retry.record_failure(now, jitter);
                // An unreachable lender may be dead, and its slice may have been reclaimed with the loan.
                // The loan is then also settled in the store; only one of the two settlements finds it
                // open.
                if message.needs_store_settlement()
                    && let LoanMessageContent::Settle(settlement) = &message.content
                {
                    state.queue_late_settlement(late_loan_settlement(&message, settlement));
                    message.has_late_settlement = true;
                }
                if !message.has_exhausted_attempts() {
                    state.loans.messages.push(message);
                }
            }
        }
        self.notify_all();
    }

    /// Delivers a message. Returns whether it is done, so that it needs no retry.
    async fn deliver_loan_message(&self, message: &LoanMessage) -> bool {
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
                if message.has_late_settlement {
                    self.state()
                        .withdraw_late_settlement(&late_loan_settlement(message, &settlement));
                }
                true
            }
            SettlementOutcome::Unknown => {
                if !message.has_late_settlement {
                    self.state().queue_late_settlement(late_loan_settlement(message, &settlement));
                }
                true
            }
            SettlementOutcome::Unreachable => false,
        }
    }
}

impl LedgerState {
    /// Takes the messages that are due, unless earlier ones are still in flight.
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

    /// Settles a loan that this router gave.
    pub(super) fn settle_given_loan(&mut self, settlement: &LoanSettlement) -> SettlementOutcome {
        let loan = settlement.loan;
        if loan.incarnation != self.incarnation {
            return SettlementOutcome::Unknown;
        }
        if let Some(budget) = self.journal.budget_of(loan.reservation).cloned() {
            self.settle_share(&budget, loan.incarnation, loan.reservation, settlement.billed);
        }
        SettlementOutcome::Settled
    }

    /// Records the reply to a loan request, and bills the loan of the reply that is evicted for it, if
    /// any.
    fn record_loan_reply(&mut self, request: &LoanRequest, reply: LoanReply) {
        let forgotten = self.loans.record_reply(request.borrower, request.number, reply);
        if let Some((loan, budget)) = forgotten {
            self.bill_in_full(&budget, loan);
        }
    }
}

/// Returns the settlement of a loan as it is written to the store.
fn late_loan_settlement(message: &LoanMessage, settlement: &LoanSettlement) -> LateSettlement {
    LateSettlement {
        budget: message.budget.clone(),
        incarnation: settlement.loan.incarnation,
        reservation: settlement.loan.reservation,
        billed: settlement.billed,
    }
}
