use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{
    ConfigRevision, IncarnationId, InstanceId, JournalSequence, OperationId, RequestKey, TokenCount,
};
use snafu::{Snafu, ensure};

use crate::{BaseCredit, JournalledBudget, SliceRecord, UnresolvedReservation};

/// The most unresolved reservations that a record lists. Older ones stay counted as spent and can no longer
/// be refunded. At 100 bytes each, the list of one budget takes less than a tenth of the largest store value.
pub const MAX_UNRESOLVED_RESERVATIONS: usize = 1_000;

/// The durable account of one budget.
///
/// All operations keep this invariant: `settled` plus the grants of all slices is at least the sum of all
/// bills so far and of those that may still follow. Since grants are taken from the pool only, bills can't
/// exceed the credit.
#[domain_type]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetRecord {
    /// The credit that the configuration sets.
    pub base: BaseCredit,
    /// The credit that operators added, keyed by operation. Entries are never removed, so a repeated operation
    /// has no effect.
    pub top_ups: BTreeMap<OperationId, TokenCount>,
    /// The tokens spent under closed slices.
    pub settled: TokenCount,
    /// The open slices, keyed by the incarnation that holds them.
    pub slices: BTreeMap<IncarnationId, SliceRecord>,
    /// The reservations that were still open when their slice was reclaimed. They are counted in `settled`.
    pub unresolved: Vec<UnresolvedReservation>,
}

/// The reason why an operator's change of a budget was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BudgetError {
    /// The new base does not cover the tokens that are spent or granted.
    #[snafu(display(
        "base of `{asked}` tokens is below what is spent or granted; set it to at least `{lowest}`"
    ))]
    BelowCommitted {
        /// The requested base.
        asked: TokenCount,
        /// The lowest base that is currently accepted.
        lowest: TokenCount,
    },
    /// The record already has the base of the same or a later revision.
    #[snafu(display(
        "revision `{asked}` is not newer than revision `{current}` of the base; apply it as a newer revision"
    ))]
    OldRevision {
        /// The requested revision.
        asked: ConfigRevision,
        /// The revision of the recorded base.
        current: ConfigRevision,
    },
    /// The operation id was already used with another amount.
    #[snafu(display(
        "operation `{operation}` already added `{recorded}` tokens, not `{asked}`; choose a new operation id"
    ))]
    DifferentTopUp {
        /// The operation id.
        operation: OperationId,
        /// The amount that the operation added.
        recorded: TokenCount,
        /// The requested amount.
        asked: TokenCount,
    },
    /// The top-up would overflow the credit.
    #[snafu(display("a top-up of `{asked}` tokens overflows the credit; add less"))]
    CreditOverflow {
        /// The requested amount.
        asked: TokenCount,
    },
}

impl BudgetRecord {
    /// Returns the sum of the base and all top-ups.
    pub fn credit(&self) -> TokenCount {
        self.base.tokens.saturating_add(self.top_ups.values().copied().sum())
    }

    /// Returns the sum of the grants of all open slices, whether spent or not.
    pub fn granted(&self) -> TokenCount {
        self.slices.values().map(|slice| slice.granted).sum()
    }

    /// Returns the tokens that are spent or granted.
    pub fn committed(&self) -> TokenCount {
        self.settled.saturating_add(self.granted())
    }

    /// Returns the tokens that may be granted. The pool is empty while a lowered credit does not cover the
    /// committed tokens.
    pub fn pool(&self) -> TokenCount {
        self.credit().saturating_sub(self.committed())
    }

    /// Returns the tokens that this record shows as spent.
    pub fn known_spent(&self) -> TokenCount {
        let in_slices = self.slices.values().map(|slice| slice.settled).sum();
        self.settled.saturating_add(in_slices)
    }

    /// Moves up to `tokens` from the pool to a slice and returns the granted amount. Takes tokens only from
    /// the pool, so the sum of all commitments stays within the credit.
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

    /// Lowers a slice to what its holder has spent and reserved, and returns the amount that went back to the
    /// pool.
    ///
    /// This is safe only if the holder makes no reservation beyond `committed` from before the call on, and
    /// its witnesses have all entries that led to `committed`.
    pub fn release_surplus(
        &mut self,
        incarnation: IncarnationId,
        committed: TokenCount,
    ) -> TokenCount {
        let Some(slice) = self.slices.get_mut(&incarnation) else { return TokenCount(0) };
        let returned = slice.granted.saturating_sub(committed);
        slice.granted = slice.granted.saturating_sub(returned);
        returned
    }

    /// Updates the tokens spent under a slice. The count never decreases and never exceeds the grant.
    pub fn update_settled(&mut self, incarnation: IncarnationId, settled: TokenCount) {
        if let Some(slice) = self.slices.get_mut(&incarnation) {
            slice.settled = slice.settled.max(settled.min(slice.granted));
        }
    }

    /// Closes a slice that its holder no longer uses and that has no open reservations. The unspent rest goes
    /// back to the pool. Returns whether the slice existed.
    pub fn settle_slice(&mut self, incarnation: IncarnationId, settled: TokenCount) -> bool {
        let Some(slice) = self.slices.remove(&incarnation) else { return false };
        self.settled = self.settled.saturating_add(settled.min(slice.granted));
        true
    }

    /// Closes a slice of a sealed incarnation with the journal that its witnesses acknowledged. Returns
    /// whether the slice existed.
    ///
    /// Every reservation whose request was sent is in the journals, so the bills of the slice can't exceed
    /// the tokens counted here. The holder never commits more than its grant. If the journals show more, they
    /// lag behind a return of surplus tokens, and it is unknown which of their reservations were settled.
    /// Then the whole grant counts as spent and no reservation is listed for a refund.
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

    /// Replaces an unresolved reservation by its bill and returns the refund, or `None` if it is not listed.
    /// One change removes the entry and refunds the tokens, so no reservation is refunded twice.
    pub fn resolve_reservation(
        &mut self,
        incarnation: IncarnationId,
        sequence: JournalSequence,
        billed: TokenCount,
    ) -> Option<TokenCount> {
        let is_match = |entry: &UnresolvedReservation| {
            entry.incarnation == incarnation && entry.sequence == sequence
        };
        let index = self.unresolved.iter().position(is_match)?;
        let refund = self.unresolved.remove(index).tokens.saturating_sub(billed);
        self.settled = self.settled.saturating_sub(refund);
        Some(refund)
    }

    /// Removes all unresolved reservations of a request that was billed elsewhere (rule B6), and returns the
    /// refund. The attempts that made these reservations will not be billed any more.
    ///
    /// `is_billed` identifies the reservation of the attempt that was billed. It may be in the list itself,
    /// if its router was sealed in the meantime.
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

    /// Adds credit under an operation id and returns whether the id was new.
    ///
    /// # Errors
    ///
    /// Fails if the id was used with another amount, or if the credit would overflow.
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

    /// Sets the base from a newer configuration revision, and returns whether it was newer. If the base does
    /// not cover the committed tokens, the pool stays empty until it does.
    pub fn set_base(&mut self, revision: ConfigRevision, tokens: TokenCount) -> bool {
        let is_newer = revision > self.base.revision;
        if is_newer {
            self.base = BaseCredit { revision, tokens };
        }
        is_newer
    }

    /// Returns the lowest base that covers the tokens that are spent or granted.
    pub fn lowest_base(&self) -> TokenCount {
        self.committed().saturating_sub(self.top_ups.values().copied().sum())
    }

    /// Sets the base at an operator's request, unless it is too low.
    ///
    /// # Errors
    ///
    /// Fails if the revision is not newer, or if a lower base does not cover the tokens that are spent or
    /// granted. The error names the lowest base that is accepted.
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
