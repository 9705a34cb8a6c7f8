//! Reserves tokens for requests: from the slice, from the pool, and from other routers' slices.

use std::{cmp::Reverse, time::Instant};

use bramleywind_store::{Store, StoreKey};
use bramleywind_types::{
    BudgetId, IncarnationId, InstanceId, JournalSequence, RequestKey, TokenCount,
};

use super::{
    BudgetLedger, ledger_state::LedgerState, page_state::DemandAnswer,
    pending_shares::PendingShares,
};
use crate::{JournalLink, LoanOutcome, LoanRequest, LoanShare, ReserveOutcome, UnavailableCause};

/// How often a request asks for a grant that other requests then take from it.
const MAX_DEMANDS: usize = 16;

/// What waiting for a witness came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CoverOutcome {
    Covered,
    /// The incarnation was given up. The entry may be in the report, so it is settled late with nothing.
    Sealed,
    DeadlinePassed,
}

/// A slice that may have tokens to lend.
struct LenderSlice {
    instance: InstanceId,
    /// What it may have left; unknown without a page.
    unspent: Option<TokenCount>,
}

impl<S: Store, L: JournalLink> BudgetLedger<S, L> {
    pub(super) async fn reserve_tokens(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
        deadline: Instant,
    ) -> ReserveOutcome {
        let mut answer = DemandAnswer::StoreUnavailable;
        let mut has_asked_home = false;
        for _ in 0..MAX_DEMANDS {
            if self.state().stopping {
                return ReserveOutcome::Unavailable(UnavailableCause::Stopping);
            }
            let mut shares = PendingShares::new(&self.core, budget);
            if shares.claim(tokens, key) {
                match self.await_cover(shares.own_entry(), deadline).await {
                    CoverOutcome::Covered => return ReserveOutcome::Reserved(shares.complete()),
                    CoverOutcome::Sealed => continue,
                    CoverOutcome::DeadlinePassed => {
                        let cause = UnavailableCause::WitnessesUnreachable;
                        return ReserveOutcome::Unavailable(cause);
                    }
                }
            }
            let home = self.state().first_lender(budget, tokens);
            if let Some(lender) = home
                && !std::mem::replace(&mut has_asked_home, true)
                && self.borrow_from(&lender, &mut shares, tokens, key).await
                && shares.tokens() == tokens
            {
                self.state().note_use(budget, tokens);
                return ReserveOutcome::Reserved(shares.complete());
            }
            drop(shares);
            match self.await_grant(budget, tokens, deadline).await {
                Some(DemandAnswer::Granted) => {}
                Some(short) => {
                    answer = short;
                    break;
                }
                None => return ReserveOutcome::Unavailable(UnavailableCause::DeadlinePassed),
            }
        }
        if answer == DemandAnswer::UnknownBudget {
            return ReserveOutcome::Unavailable(UnavailableCause::UnknownBudget);
        }
        self.borrow_rest(budget, tokens, key, deadline, answer).await
    }

    /// Waits until the witnesses cover an entry.
    pub(super) async fn await_cover(
        &self,
        entry: Option<(IncarnationId, JournalSequence)>,
        deadline: Instant,
    ) -> CoverOutcome {
        let Some((incarnation, sequence)) = entry else { return CoverOutcome::Covered };
        self.core.work.notify();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                if state.is_covered(incarnation, sequence) {
                    return CoverOutcome::Covered;
                }
                if state.incarnation != incarnation {
                    return CoverOutcome::Sealed;
                }
                if state.now() >= deadline {
                    return CoverOutcome::DeadlinePassed;
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Waits for a round of the budget's page; nothing if the deadline passes first.
    pub(super) async fn await_grant(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        deadline: Instant,
    ) -> Option<DemandAnswer> {
        let ticket = self.state().add_demand(budget, tokens);
        let _guard = DemandGuard { keeper: self, ticket };
        self.core.work.notify();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                if let Some(answer) = state.demands.get(&ticket).and_then(|demand| demand.answer) {
                    return Some(answer);
                }
                if state.now() >= deadline {
                    return None;
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Takes what the own slice has and borrows the rest, from the largest slice first. Hands everything
    /// back if the sum does not suffice.
    async fn borrow_rest(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
        deadline: Instant,
        answer: DemandAnswer,
    ) -> ReserveOutcome {
        let mut shares = PendingShares::new(&self.core, budget);
        let available = self.state().available(budget).min(tokens);
        if available > TokenCount(0) {
            shares.claim(available, key);
        }
        let lenders = self.state().lenders(budget);
        let mut out_of_reach = TokenCount(0);
        for lender in lenders {
            let missing = tokens.saturating_sub(shares.tokens());
            if missing == TokenCount(0) {
                break;
            }
            if self.state().now() >= deadline {
                return ReserveOutcome::Unavailable(UnavailableCause::DeadlinePassed);
            }
            let is_reached = self.borrow_from(&lender.instance, &mut shares, missing, key).await;
            if !is_reached {
                out_of_reach = out_of_reach.saturating_add(lender.unspent.unwrap_or(missing));
            }
        }
        if shares.tokens() < tokens {
            let cause = match answer {
                DemandAnswer::PoolEmpty => UnavailableCause::HoldersUnreachable,
                _ => UnavailableCause::StoreUnavailable,
            };
            let is_certain = cause == UnavailableCause::HoldersUnreachable
                && shares.tokens().saturating_add(out_of_reach) < tokens;
            return if is_certain {
                ReserveOutcome::Exhausted
            } else {
                ReserveOutcome::Unavailable(cause)
            };
        }
        match self.await_cover(shares.own_entry(), deadline).await {
            CoverOutcome::Covered => ReserveOutcome::Reserved(shares.complete()),
            CoverOutcome::Sealed | CoverOutcome::DeadlinePassed => {
                ReserveOutcome::Unavailable(UnavailableCause::WitnessesUnreachable)
            }
        }
    }

    /// Asks one router for a loan. Returns whether it answered.
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
                // The run, since a loan is told from others by its number for as long as the process runs.
                borrower: state.run,
                number: state.loans.next_number(),
                key: key.cloned(),
            }
        };
        shares.ask(lender, &request);
        match self.shared.link.borrow(lender, &request).await {
            LoanOutcome::Lent { loan, tokens } => {
                let tokens = tokens.min(missing);
                shares.got_loan(LoanShare { lender: lender.clone(), loan, tokens });
                true
            }
            LoanOutcome::Nothing => {
                shares.got_nothing();
                true
            }
            LoanOutcome::Unreachable => {
                shares.cancel_asked();
                self.state().avoid_lender(lender);
                false
            }
        }
    }
}

/// Withdraws a demand when nobody waits for it any more.
struct DemandGuard<'a, S: Store, L: JournalLink> {
    keeper: &'a BudgetLedger<S, L>,
    ticket: u64,
}

impl<S: Store, L: JournalLink> Drop for DemandGuard<'_, S, L> {
    fn drop(&mut self) {
        self.keeper.state().demands.remove(&self.ticket);
    }
}

impl LedgerState {
    /// Other routers with unspent tokens, the largest first; all peers if the page is not known.
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
