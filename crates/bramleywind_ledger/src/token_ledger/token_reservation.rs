//! Reserves tokens for requests: in the router's own slice, from the pool, and in other routers' slices.

use std::{cmp::Reverse, time::Instant};

use bramleywind_store::{Store, StoreKey};
use bramleywind_types::{
    BudgetId, IncarnationId, InstanceId, JournalSequence, RequestKey, TokenCount,
};

use super::{
    TokenLedger, ledger_state::LedgerState, page_state::GrantOutcome, pending_shares::PendingShares,
};
use crate::{JournalLink, LoanOutcome, LoanRequest, LoanShare, ReserveOutcome, UnavailableCause};

/// The number of attempts of a request, since other requests may take the tokens that were granted for it.
const MAX_GRANT_REQUESTS: usize = 16;

/// The outcome of waiting for the witnesses to acknowledge a journal entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcknowledgeOutcome {
    Acknowledged,
    /// The incarnation was abandoned. Its report may contain the entry, which is settled late with zero
    /// tokens.
    Sealed,
    DeadlinePassed,
}

/// A router that may have tokens to lend.
struct LenderSlice {
    instance: InstanceId,
    /// The unspent tokens of its slices, or `None` if the page is not cached.
    unspent: Option<TokenCount>,
}

impl<S: Store, L: JournalLink> TokenLedger<S, L> {
    /// Reserves tokens, as [`TokenLedger::reserve`] describes: first in the own slice, then at the page
    /// home, then in a grant from the pool, and last with loans of several routers.
    pub(super) async fn reserve_tokens(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
        deadline: Instant,
    ) -> ReserveOutcome {
        let mut outcome = GrantOutcome::StoreUnavailable;
        let mut has_asked_home = false;
        for _ in 0..MAX_GRANT_REQUESTS {
            if self.state().stopping {
                return ReserveOutcome::Unavailable(UnavailableCause::Stopping);
            }
            let mut shares = PendingShares::new(&self.core, budget);
            if shares.reserve_own(tokens, key) {
                match self.await_acknowledgement(shares.own_entry(), deadline).await {
                    AcknowledgeOutcome::Acknowledged => {
                        return ReserveOutcome::Reserved(shares.into_reservation());
                    }
                    AcknowledgeOutcome::Sealed => continue,
                    AcknowledgeOutcome::DeadlinePassed => {
                        let cause = UnavailableCause::WitnessesUnreachable;
                        return ReserveOutcome::Unavailable(cause);
                    }
                }
            }
            let home = self.state().preferred_lender(budget, tokens);
            if let Some(lender) = home
                && !std::mem::replace(&mut has_asked_home, true)
                && self.borrow_from(&lender, &mut shares, tokens, key).await
                && shares.tokens() == tokens
            {
                self.state().record_use(budget, tokens);
                return ReserveOutcome::Reserved(shares.into_reservation());
            }
            drop(shares);
            match self.await_grant(budget, tokens, deadline).await {
                Some(GrantOutcome::Granted) => {}
                Some(refusal) => {
                    outcome = refusal;
                    break;
                }
                None => return ReserveOutcome::Unavailable(UnavailableCause::DeadlinePassed),
            }
        }
        if outcome == GrantOutcome::UnknownBudget {
            return ReserveOutcome::Unavailable(UnavailableCause::UnknownBudget);
        }
        self.borrow_missing(budget, tokens, key, deadline, outcome).await
    }

    /// Waits until the witnesses have acknowledged an entry. Without an entry there is nothing to wait
    /// for.
    pub(super) async fn await_acknowledgement(
        &self,
        entry: Option<(IncarnationId, JournalSequence)>,
        deadline: Instant,
    ) -> AcknowledgeOutcome {
        let Some((incarnation, sequence)) = entry else { return AcknowledgeOutcome::Acknowledged };
        self.core.work.notify();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                if state.is_acknowledged(incarnation, sequence) {
                    return AcknowledgeOutcome::Acknowledged;
                }
                if state.incarnation != incarnation {
                    return AcknowledgeOutcome::Sealed;
                }
                if state.now() >= deadline {
                    return AcknowledgeOutcome::DeadlinePassed;
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Requests a grant and waits for an update of the budget's page. Returns `None` if the deadline
    /// passes first.
    pub(super) async fn await_grant(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        deadline: Instant,
    ) -> Option<GrantOutcome> {
        let ticket = self.state().add_grant_request(budget, tokens);
        let _guard = GrantRequestGuard { ledger: self, ticket };
        self.core.work.notify();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                if let Some(outcome) =
                    state.grant_requests.get(&ticket).and_then(|request| request.outcome)
                {
                    return Some(outcome);
                }
                if state.now() >= deadline {
                    return None;
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Reserves what the own slice has and borrows the rest, from the router with the most unspent tokens
    /// first. Returns all shares if the sum does not suffice.
    async fn borrow_missing(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
        deadline: Instant,
        outcome: GrantOutcome,
    ) -> ReserveOutcome {
        let mut shares = PendingShares::new(&self.core, budget);
        let available = self.state().available(budget).min(tokens);
        if available > TokenCount(0) {
            shares.reserve_own(available, key);
        }
        let lenders = self.state().lenders(budget);
        let mut unreachable_tokens = TokenCount(0);
        for lender in lenders {
            let missing = tokens.saturating_sub(shares.tokens());
            if missing == TokenCount(0) {
                break;
            }
            if self.state().now() >= deadline {
                return ReserveOutcome::Unavailable(UnavailableCause::DeadlinePassed);
            }
            let has_answered = self.borrow_from(&lender.instance, &mut shares, missing, key).await;
            if !has_answered {
                unreachable_tokens =
                    unreachable_tokens.saturating_add(lender.unspent.unwrap_or(missing));
            }
        }
        if shares.tokens() < tokens {
            let cause = match outcome {
                GrantOutcome::PoolEmpty => UnavailableCause::HoldersUnreachable,
                _ => UnavailableCause::StoreUnavailable,
            };
            let is_exhausted = cause == UnavailableCause::HoldersUnreachable
                && shares.tokens().saturating_add(unreachable_tokens) < tokens;
            return if is_exhausted {
                ReserveOutcome::Exhausted
            } else {
                ReserveOutcome::Unavailable(cause)
            };
        }
        match self.await_acknowledgement(shares.own_entry(), deadline).await {
            AcknowledgeOutcome::Acknowledged => ReserveOutcome::Reserved(shares.into_reservation()),
            AcknowledgeOutcome::Sealed | AcknowledgeOutcome::DeadlinePassed => {
                ReserveOutcome::Unavailable(UnavailableCause::WitnessesUnreachable)
            }
        }
    }

    /// Requests a loan from one router and adds it to the shares. Returns whether the router answered.
    async fn borrow_from(
        &self,
        lender: &InstanceId,
        shares: &mut PendingShares,
        missing: TokenCount,
        key: Option<&RequestKey>,
    ) -> bool {
        let request = {
            let mut state = self.state();
            LoanRequest {
                budget: shares.budget().clone(),
                tokens: missing,
                // The process run, not the incarnation, because loan numbers are unique within a run.
                borrower: state.run,
                number: state.loans.next_number(),
                key: key.cloned(),
            }
        };
        shares.set_pending_request(lender, &request);
        match self.shared.link.borrow(lender, &request).await {
            LoanOutcome::Lent { loan, tokens } => {
                let tokens = tokens.min(missing);
                shares.add_loan(LoanShare { lender: lender.clone(), loan, tokens });
                true
            }
            LoanOutcome::Nothing => {
                shares.clear_pending_request();
                true
            }
            LoanOutcome::Unreachable => {
                shares.cancel_pending_request();
                self.state().avoid_lender(lender);
                false
            }
        }
    }
}

/// Removes a grant request when its caller stops waiting.
struct GrantRequestGuard<'a, S: Store, L: JournalLink> {
    ledger: &'a TokenLedger<S, L>,
    ticket: u64,
}

impl<S: Store, L: JournalLink> Drop for GrantRequestGuard<'_, S, L> {
    fn drop(&mut self) {
        self.ledger.state().grant_requests.remove(&self.ticket);
    }
}

impl LedgerState {
    /// Returns the other routers with unspent tokens, the largest amount first, or all peers if the page
    /// is not cached or does not have the budget.
    fn lenders(&self, budget: &BudgetId) -> Vec<LenderSlice> {
        let own = &self.settings.instance;
        let page = self.pages.get(&StoreKey::budget_page(budget));
        let cached = page.and_then(|page| page.cached.as_ref());
        let Some(record) = cached.and_then(|(_, page)| page.budgets.get(budget)) else {
            let peers = self
                .peers
                .iter()
                .map(|peer| LenderSlice { instance: peer.instance().clone(), unspent: None });
            return peers.filter(|lender| lender.instance != *own).collect();
        };
        let mut lenders: Vec<LenderSlice> = Vec::new();
        for slice in record.slices.values().filter(|slice| slice.holder != *own) {
            let unspent = slice.granted.saturating_sub(slice.settled);
            match lenders.iter_mut().find(|lender| lender.instance == slice.holder) {
                Some(lender) => {
                    lender.unspent = lender.unspent.map(|sum| sum.saturating_add(unspent));
                }
                None => lenders
                    .push(LenderSlice { instance: slice.holder.clone(), unspent: Some(unspent) }),
            }
        }
        lenders.retain(|lender| lender.unspent != Some(TokenCount(0)));
        lenders.sort_by_key(|lender| Reverse(lender.unspent));
        lenders
    }
}
