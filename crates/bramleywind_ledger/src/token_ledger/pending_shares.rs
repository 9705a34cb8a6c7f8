use std::rc::Rc;

use bramleywind_types::{
    BudgetId, IncarnationId, InstanceId, JournalSequence, RequestKey, TokenCount,
};

use super::ledger_core::LedgerCore;
use crate::{
    LoanRequest, LoanSettlement, LoanShare, OwnShare, Reservation,
    loan_registry::{LoanMessage, LoanMessageContent},
};

/// The shares of a reservation that is not complete. Dropping it returns the shares that were collected so
/// far, for instance if the caller is dropped while it waits.
pub(super) struct PendingShares {
    core: Rc<LedgerCore>,
    budget: BudgetId,
    own: Option<OwnShare>,
    loans: Vec<LoanShare>,
    /// The loan request that was sent and has not been answered, with its lender.
    pending_request: Option<(InstanceId, LoanRequest)>,
}

impl PendingShares {
    pub(super) fn new(core: &Rc<LedgerCore>, budget: &BudgetId) -> Self {
        let (core, budget) = (Rc::clone(core), budget.clone());
        Self { core, budget, own: None, loans: Vec::new(), pending_request: None }
    }

    /// Reserves tokens in the router's own slice. Returns whether the slice had enough.
    pub(super) fn reserve_own(&mut self, tokens: TokenCount, key: Option<&RequestKey>) -> bool {
        let mut state = self.core.state.borrow_mut();
        let Some(sequence) = state.reserve_own(&self.budget, tokens, key) else { return false };
        self.own = Some(OwnShare { incarnation: state.incarnation, sequence, tokens });
        true
    }

    pub(super) fn budget(&self) -> &BudgetId {
        &self.budget
    }

    pub(super) fn own_entry(&self) -> Option<(IncarnationId, JournalSequence)> {
        self.own.map(|share| (share.incarnation, share.sequence))
    }

    pub(super) fn tokens(&self) -> TokenCount {
        let own = self.own.map_or(TokenCount(0), |share| share.tokens);
        own.saturating_add(self.loans.iter().map(|share| share.tokens).sum())
    }

    /// Records a loan request before it is sent, so that it is cancelled if no answer arrives.
    pub(super) fn set_pending_request(&mut self, lender: &InstanceId, request: &LoanRequest) {
        self.pending_request = Some((lender.clone(), request.clone()));
    }

    /// Clears the pending request after the lender answered that it reserved nothing.
    pub(super) fn clear_pending_request(&mut self) {
        self.pending_request = None;
    }

    /// Adds the loan that answers the pending request.
    pub(super) fn add_loan(&mut self, share: LoanShare) {
        self.pending_request = None;
        self.loans.push(share);
    }

    /// Queues the cancellation of the pending request, if there is one.
    pub(super) fn cancel_pending_request(&mut self) {
        if let Some((lender, request)) = self.pending_request.take() {
            let content = LoanMessageContent::Cancel(request);
            let message = LoanMessage::new(lender, self.budget.clone(), content);
            self.core.state.borrow_mut().loans.messages.push(message);
            self.core.work.notify();
        }
    }

    /// Converts the collected shares into a reservation.
    pub(super) fn into_reservation(mut self) -> Reservation {
        Reservation {
            budget: self.budget.clone(),
            own: self.own.take(),
            loans: std::mem::take(&mut self.loans),
        }
    }
}

impl Drop for PendingShares {
    fn drop(&mut self) {
        self.cancel_pending_request();
        if self.own.is_none() && self.loans.is_empty() {
            return;
        }
        self.core.settle_shares(&self.budget, self.own.take(), &self.loans, TokenCount(0));
    }
}

impl LedgerCore {
    /// Bills the shares, the router's own first, so that lenders get back as much as possible.
    pub(super) fn settle_shares(
        &self,
        budget: &BudgetId,
        own: Option<OwnShare>,
        loans: &[LoanShare],
        billed: TokenCount,
    ) {
        let mut remaining = billed;
        let mut state = self.state.borrow_mut();
        if let Some(share) = own {
            let part = remaining.min(share.tokens);
            remaining = remaining.saturating_sub(part);
            state.settle_share(budget, share.incarnation, share.sequence, part);
        }
        for share in loans {
            let part = remaining.min(share.tokens);
            remaining = remaining.saturating_sub(part);
            let settlement = LoanSettlement { loan: share.loan, billed: part };
            let content = LoanMessageContent::Settle(settlement);
            let message = LoanMessage::new(share.lender.clone(), budget.clone(), content);
            state.loans.messages.push(message);
        }
        drop(state);
        self.work.notify();
    }
}
