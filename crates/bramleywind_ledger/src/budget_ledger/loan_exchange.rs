//! Gives loans to other routers, and brings lenders the messages that they must not miss.

use std::time::Duration;

use bramleywind_store::Store;
use bramleywind_types::TokenCount;
use futures_util::future::join_all;

use super::{
    BudgetLedger, ledger_state::LedgerState, page_state::LateSettlement,
    pending_shares::PendingShares, token_reservation::AcknowledgeOutcome,
};
use crate::{
    JournalLink, LoanId, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome,
    loan_registry::{LoanMessage, LoanMessageContent, LoanRegistry, LoanReply},
};

/// How long a lender waits for a witness. Its borrower's caller waits as well.
const LOAN_ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Store, L: JournalLink> BudgetLedger<S, L> {
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
            state.record_loan_reply(request, LoanReply::Pending);
            (state.now() + LOAN_ACKNOWLEDGE_TIMEOUT, is_home && is_short && !state.stopping)
        };
        if takes_grant {
            // The home takes grants for its borrowers. Whatever comes of it, the slice decides.
            let _answer = self.await_grant(&request.budget, request.tokens, deadline).await;
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
        // If this future is dropped, the share is handed back and the answer stays pending: the borrower
        // goes on asking until it learns that the loan does not exist.
        // The journal does not name the key: a repeat of the request that is funded by a loan of its own
        // must not take back what is counted for that loan (see `BudgetRecord::resolve_key`).
        shares.reserve_from_slice(tokens, None);
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

    /// Sends all due messages to lenders.
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
                message.retry.failed(now, jitter);
                // A lender that can't be reached may be dead, and its slice be reclaimed with the loan in
                // it. Only one of the two ways finds the loan open.
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

    /// Returns whether the lender need not be told any more.
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

    fn record_loan_reply(&mut self, request: &LoanRequest, reply: LoanReply) {
        let forgotten = self.loans.record_reply(request.borrower, request.number, reply);
        if let Some((loan, budget)) = forgotten {
            self.bill_in_full(&budget, loan);
        }
    }
}

fn late_loan_settlement(message: &LoanMessage, settlement: &LoanSettlement) -> LateSettlement {
    LateSettlement {
        budget: message.budget.clone(),
        incarnation: settlement.loan.incarnation,
        reservation: settlement.loan.reservation,
        billed: settlement.billed,
    }
}
