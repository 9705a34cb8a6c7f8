use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{
    ConfigRevision, IncarnationId, InstanceId, JournalSequence, OperationId, RequestKey, TokenCount,
};
use snafu::{Snafu, ensure};

use crate::{BaseCredit, JournalledBudget, SliceRecord, UnresolvedReservation};

/// How many unresolved reservations a record lists. Older ones stay counted as spent and can no longer be
/// refunded. At 100 bytes each, the list of one budget stays below a tenth of the largest store value.
pub const MAX_UNRESOLVED_RESERVATIONS: usize = 1_000;

/// The durable account of one budget.
///
/// The rule that all operations keep: `settled` plus the grants of all slices is at least what was and may
/// yet be billed. While it holds and grants come out of the pool only, bills can't exceed the credit.
#[domain_type]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetRecord {
    /// What the configuration gives.
    pub base: BaseCredit,
    /// What operators added, by operation. It only grows, so a repeated operation changes nothing.
    pub top_ups: BTreeMap<OperationId, TokenCount>,
    /// What was spent under slices that are closed.
    pub settled: TokenCount,
    /// The slices that are not closed.
    pub slices: BTreeMap<IncarnationId, SliceRecord>,
    /// Reservations that were open at a reclaim. They are part of `settled`.
    pub unresolved: Vec<UnresolvedReservation>,
}

/// Why an operator's change of a budget was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BudgetError {
    /// A lower base would not cover what is spent or granted.
    #[snafu(display(
        "base of `{asked}` tokens is below what is spent or granted; set it to at least `{lowest}`"
    ))]
    BelowCommitted {
        /// The base that was asked for.
        asked: TokenCount,
        /// The lowest base that is accepted now.
        lowest: TokenCount,
    },
    /// The record already has the base of a later revision.
    #[snafu(display(
        "revision `{asked}` is not newer than revision `{current}` of the base; apply it as a newer revision"
    ))]
    OldRevision {
        /// The revision that was asked for.
        asked: ConfigRevision,
        /// The revision of the record.
        current: ConfigRevision,
    },
    /// An operation id was used again with another amount.
    #[snafu(display(
        "operation `{operation}` already added `{recorded}` tokens, not `{asked}`; choose a new operation id"
    ))]
    DifferentTopUp {
        /// The operation.
        operation: OperationId,
        /// What it added.
        recorded: TokenCount,
        /// What was asked for now.
        asked: TokenCount,
    },
    /// The credit would not fit its number type.
    #[snafu(display("a top-up of `{asked}` tokens overflows the credit; add less"))]
    CreditOverflow {
        /// The top-up.
        asked: TokenCount,
    },
}

impl BudgetRecord {
    /// Base and top-ups.
    pub fn credit(&self) -> TokenCount {
        self.base.tokens.saturating_add(self.top_ups.values().copied().sum())
    }

    /// What all slices hold, spent or not.
    pub fn granted(&self) -> TokenCount {
        self.slices.values().map(|slice| slice.granted).sum()
    }

    /// What is spent or granted.
    pub fn committed(&self) -> TokenCount {
        self.settled.saturating_add(self.granted())
    }

    /// What may be granted: zero while a lowered credit does not cover what is committed.
    pub fn pool(&self) -> TokenCount {
        self.credit().saturating_sub(self.committed())
    }

    /// What the record knows to be spent.
    pub fn known_spent(&self) -> TokenCount {
        let in_slices = self.slices.values().map(|slice| slice.settled).sum();
        self.settled.saturating_add(in_slices)
    }

    /// Adds up to `tokens` from the pool to a slice, and returns how much. Takes nothing else than pool, so
    /// the sum of all commitments stays within the credit.
    pub fn grant(
        &mut self,
        incarnation: IncarnationId,
        holder: &InstanceId,
        tokens: TokenCount,
    ) -> TokenCount {
        let granted = tokens.min(self.pool());
        if granted > TokenCount(0) {
            let slice = self.slices.entry(incarnation).or_insert_with(|| SliceRecord {
                holder: holder.clone(),
                granted: TokenCount(0),
                settled: TokenCount(0),
            });
            slice.granted = slice.granted.saturating_add(granted);
        }
        granted
    }

    /// Lowers a slice to what its holder has spent and reserved, and returns what went back to the pool.
    ///
    /// Safe only if the holder does not reserve beyond `committed` from before the call on, and its
    /// witnesses have all entries that led to `committed`.
    pub fn release_surplus(&mut self, incarnation: IncarnationId, committed: TokenCount) -> TokenCount {
        let Some(slice) = self.slices.get_mut(&incarnation) else { return TokenCount(0) };
        let returned = slice.granted.saturating_sub(committed);
        slice.granted = slice.granted.saturating_sub(returned);
        returned
    }

    /// Notes what a slice has spent. The figure never goes down or above the grant.
    pub fn update_settled(&mut self, incarnation: IncarnationId, settled: TokenCount) {
        if let Some(slice) = self.slices.get_mut(&incarnation) {
            slice.settled = slice.settled.max(settled.min(slice.granted));
        }
    }

    /// Settles a slice whose holder has nothing open and stops using it; the rest goes back to the pool.
    pub fn settle_slice(&mut self, incarnation: IncarnationId, settled: TokenCount) -> bool {
        let Some(slice) = self.slices.remove(&incarnation) else { return false };
        self.settled = self.settled.saturating_add(settled.min(slice.granted));
        true
    }

    /// Closes a slice of a sealed incarnation with what its witnesses acknowledged.
    ///
    /// A reservation that was sent is in the journals, so bills of the slice stay within what is counted
    /// here. The holder never commits more than its grant; if the journals say otherwise, they lag behind
    /// a hand-back, and which reservation was settled is not known. Then the whole grant counts as spent,
    /// and no entry is listed for a refund.
    pub fn close_sealed_slice(
        &mut self,
        incarnation: IncarnationId,
        journalled: &JournalledBudget,
    ) -> bool {
        let Some(slice) = self.slices.remove(&incarnation) else { return false };
        let open = journalled.open.values().map(|reservation| reservation.tokens).sum();
        let spent = journalled.settled.saturating_add(open);
        self.settled = self.settled.saturating_add(spent.min(slice.granted));
        if spent > slice.granted {
            return true;
        }
        self.unresolved.extend(journalled.open.iter().map(|(sequence, reservation)| {
            UnresolvedReservation {
                incarnation,
                sequence: *sequence,
                key: reservation.key.clone(),
                tokens: reservation.tokens,
            }
        }));
        let surplus = self.unresolved.len().saturating_sub(MAX_UNRESOLVED_RESERVATIONS);
        self.unresolved.drain(..surplus);
        true
    }

    /// Replaces an unresolved reservation by its bill, and returns the difference. Removing the entry and
    /// the refund are one change, so no reservation is refunded twice.
    pub fn resolve_reservation(
        &mut self,
        incarnation: IncarnationId,
        sequence: JournalSequence,
        billed: TokenCount,
    ) -> Option<TokenCount> {
        let is_same = |entry: &UnresolvedReservation| {
            entry.incarnation == incarnation && entry.sequence == sequence
        };
        let index = self.unresolved.iter().position(is_same)?;
        let refund = self.unresolved.remove(index).tokens.saturating_sub(billed);
        self.settled = self.settled.saturating_sub(refund);
        Some(refund)
    }

    /// Removes all unresolved reservations of a request that was billed elsewhere (rule B6), and returns
    /// what they had counted. The attempts that they stand for are not billed any more.
    ///
    /// `is_billed` tells the reservation of the attempt that was billed, which may stand in the list itself
    /// if its router was sealed meanwhile.
    pub fn resolve_key(
        &mut self,
        key: &RequestKey,
        is_billed: impl Fn(&UnresolvedReservation) -> bool,
    ) -> TokenCount {
        let (resolved, kept) = std::mem::take(&mut self.unresolved)
            .into_iter()
            .partition(|entry| entry.key.as_ref() == Some(key) && !is_billed(entry));
        self.unresolved = kept;
        let refund = Vec::into_iter(resolved).map(|entry| entry.tokens).sum();
        self.settled = self.settled.saturating_sub(refund);
        refund
    }

    /// Adds credit under an operation id. Returns whether it was new.
    ///
    /// # Errors
    ///
    /// Refuses an id that was used with another amount, and a credit that does not fit.
    pub fn top_up(
        &mut self,
        operation: OperationId,
        tokens: TokenCount,
    ) -> Result<bool, BudgetError> {
        if let Some(recorded) = self.top_ups.get(&operation).copied() {
            ensure!(recorded == tokens, DifferentTopUpSnafu { operation, recorded, asked: tokens });
            return Ok(false);
        }
        ensure!(self.credit().checked_add(tokens).is_some(), CreditOverflowSnafu { asked: tokens });
        self.top_ups.insert(operation, tokens);
        Ok(true)
    }

    /// Takes over the base of a higher configuration revision. A base that does not cover what is committed
    /// leaves the pool at zero until spending is covered. Returns whether it changed.
    pub fn set_base(&mut self, revision: ConfigRevision, tokens: TokenCount) -> bool {
        let changes = revision > self.base.revision;
        if changes {
            self.base = BaseCredit { revision, tokens };
        }
        changes
    }

    /// The lowest base that covers what is spent or granted.
    pub fn lowest_base(&self) -> TokenCount {
        self.committed().saturating_sub(self.top_ups.values().copied().sum())
    }

    /// Sets a base on an operator's request, who is to be told if it is too low.
    ///
    /// # Errors
    ///
    /// Refuses a lower base that does not cover what is spent or granted, and names the lowest accepted
    /// figure. Refuses a revision that is not newer.
    pub fn try_set_base(
        &mut self,
        revision: ConfigRevision,
        tokens: TokenCount,
    ) -> Result<(), BudgetError> {
        let lowest = self.lowest_base();
        let current = self.base.revision;
        ensure!(revision > current, OldRevisionSnafu { asked: revision, current });
        let is_covered = tokens >= lowest || tokens >= self.base.tokens;
        ensure!(is_covered, BelowCommittedSnafu { asked: tokens, lowest });
        self.base = BaseCredit { revision, tokens };
        Ok(())
    }
}
