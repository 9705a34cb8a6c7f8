//! Placeholder for the budgets of `bramleywind_ledger`, one account for each budget in this process.

use std::{cell::RefCell, collections::BTreeMap, time::Instant};

use bramleywind_types::{BudgetId, ConfigRevision, RequestKey, TokenCount};

/// Tokens set aside.
#[derive(Debug)]
pub struct Reservation {
    budget: BudgetId,
    tokens: TokenCount,
}

/// What a request for tokens came to.
#[derive(Debug)]
pub enum ReserveOutcome {
    /// Set aside.
    Reserved(Reservation),
    /// Not enough.
    Exhausted,
}

/// The accounts.
#[derive(Debug, Default)]
pub struct FundsGate {
    left: RefCell<BTreeMap<BudgetId, TokenCount>>,
}

impl FundsGate {
    /// Replaces the credits.
    pub fn configure(&self, _revision: ConfigRevision, budgets: Vec<(BudgetId, TokenCount)>) {
        *self.left.borrow_mut() = budgets.into_iter().collect();
    }

    /// Sets tokens aside.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        _key: Option<&RequestKey>,
        _deadline: Instant,
    ) -> ReserveOutcome {
        let mut accounts = self.left.borrow_mut();
        match accounts.get_mut(budget) {
            Some(left) if *left >= tokens => {
                *left = left.saturating_sub(tokens);
                ReserveOutcome::Reserved(Reservation { budget: budget.clone(), tokens })
            }
            _ => ReserveOutcome::Exhausted,
        }
    }

    /// Bills a reservation.
    pub fn settle(&self, reservation: Reservation, billed: TokenCount) -> TokenCount {
        let mut accounts = self.left.borrow_mut();
        if let Some(left) = accounts.get_mut(&reservation.budget) {
            *left = left.saturating_add(reservation.tokens.saturating_sub(billed));
        }
        billed.saturating_sub(reservation.tokens)
    }

    /// The incarnation.
    pub fn incarnation(&self) -> bramleywind_types::IncarnationId {
        bramleywind_types::IncarnationId::from_number(0)
    }

    /// What is left.
    pub fn balance(&self, budget: &BudgetId) -> Option<TokenCount> {
        self.left.borrow().get(budget).copied()
    }
}
