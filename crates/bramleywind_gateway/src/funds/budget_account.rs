use std::{collections::VecDeque, time::Instant};

use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount};
use futures_channel::oneshot;

use super::{
    BudgetRecord, GrantInput, GrantSizing, HolderGrant, ReserveOutcome, StandbyAccess, UseRate,
};

/// What this process knows of one budget, and what it has spent of it.
#[derive(Debug)]
pub struct BudgetAccount {
    /// All tokens that the workspace may use, by the newest configuration.
    pub(super) prepaid: TokenCount,
    /// The own grant. While a write is in doubt, the smaller of both possible values.
    granted: HolderGrant,
    /// Tokens of other processes' grants that this one may use.
    borrowed: TokenCount,
    /// Tokens of the own grant that others may use.
    lent: TokenCount,
    spent: TokenCount,
    reserved: TokenCount,
    record: BudgetRecord,
    version: StoreVersion,
    /// Whether a write has an unknown outcome.
    is_in_doubt: bool,
    /// When the record was last read from the store; never, if nothing.
    read_at: Option<Instant>,
    pub(super) rate: UseRate,
    pub(super) waiting: VecDeque<WaitingReservation>,
}

/// A request that waits for tokens.
#[derive(Debug)]
pub(super) struct WaitingReservation {
    pub(super) need: TokenCount,
    pub(super) since: Instant,
    pub(super) reply: oneshot::Sender<ReserveOutcome>,
}

/// What concerns all grants of a process.
#[derive(Debug, Clone, Copy)]
pub(super) struct HolderState {
    pub(super) holder: IncarnationId,
    pub(super) members: usize,
    pub(super) is_present: bool,
    pub(super) is_leaving: bool,
}

impl BudgetAccount {
    pub(super) fn new(prepaid: TokenCount, now: Instant) -> Self {
        Self {
            prepaid,
            granted: HolderGrant::default(),
            borrowed: TokenCount(0),
            lent: TokenCount(0),
            spent: TokenCount(0),
            reserved: TokenCount(0),
            record: BudgetRecord::default(),
            version: StoreVersion::MISSING,
            is_in_doubt: false,
            read_at: None,
            rate: UseRate::new(now),
            waiting: VecDeque::new(),
        }
    }

    /// Tokens that may be reserved now.
    pub fn available(&self, access: StandbyAccess) -> TokenCount {
        let granted = self.granted.working.saturating_add(access.spendable(self.granted));
        granted.saturating_add(self.borrowed).saturating_sub(self.bound())
    }

    /// Tokens that were spent, reserved or lent beyond the working ones.
    pub(super) fn overdrawn(&self) -> TokenCount {
        self.bound().saturating_sub(self.granted.working.saturating_add(self.borrowed))
    }

    /// Tokens that are spent, reserved or lent.
    fn bound(&self) -> TokenCount {
        self.spent.saturating_add(self.reserved).saturating_add(self.lent)
    }

    /// Tokens that no process holds, by the last known record.
    pub fn pool(&self) -> TokenCount {
        self.record.pool(self.prepaid)
    }

    /// Tokens that this process can have: its own unspent ones of both kinds, and those that no process holds.
    pub fn reachable(&self) -> TokenCount {
        self.available(StandbyAccess::Open).saturating_add(self.pool())
    }

    /// Granted tokens, spent ones included.
    pub fn granted(&self) -> HolderGrant {
        self.granted
    }

    /// All tokens that the workspace may use, by the newest configuration.
    pub fn prepaid(&self) -> TokenCount {
        self.prepaid
    }

    /// Tokens that this process's requests were charged.
    pub fn spent(&self) -> TokenCount {
        self.spent
    }

    /// The process's own use, in tokens a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.rate.at(now)
    }

    /// When the record was last read.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// The version of the record that the next write expects.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Reserves tokens, if enough are available.
    pub(super) fn try_reserve(&mut self, need: TokenCount, access: StandbyAccess) -> bool {
        if self.available(access) < need {
            return false;
        }
        self.reserved = self.reserved.saturating_add(need);
        true
    }

    /// Ends a reservation of `need` tokens, of which `spent` were used.
    pub(super) fn settle(&mut self, need: TokenCount, spent: TokenCount) {
        self.reserved = self.reserved.saturating_sub(need);
        self.spent = self.spent.saturating_add(spent);
    }

    /// Tokens that requests of this process wait for.
    pub(super) fn waiting_tokens(&self) -> TokenCount {
        self.waiting.iter().map(|entry| entry.need).sum()
    }

    /// The grant to ask for, if it should change.
    pub(super) fn wanted_grant(
        &self,
        state: HolderState,
        is_joining: bool,
        now: Instant,
    ) -> Option<HolderGrant> {
        let others = || self.record.others(state.holder);
        let input = GrantInput {
            prepaid: self.prepaid,
            pool: self.pool(),
            available: self.available(StandbyAccess::Closed),
            standby: self.granted.standby,
            overdrawn: self.overdrawn(),
            waiting: self.waiting_tokens(),
            rate: self.rate.at(now),
            others_rate: others().map(|grant| grant.use_rate.0 as f64).sum(),
            others_standby: others().map(|grant| grant.standby).sum(),
            members: state.members,
            is_present: state.is_present,
            is_joining,
            is_leaving: state.is_leaving,
        };
        match GrantSizing::decide(&input) {
            GrantSizing::Keep => None,
            GrantSizing::Hold(unspent) => {
                let bound = self.bound().saturating_add(unspent.working);
                let working = bound.saturating_sub(self.borrowed);
                let wanted = HolderGrant { working, ..unspent };
                let is_equal = (wanted.working, wanted.standby)
                    == (self.granted.working, self.granted.standby);
                (!is_equal).then_some(wanted)
            }
        }
    }

    /// Gives all away that is available, when the process stops.
    pub(super) fn give_away(&mut self, access: StandbyAccess) -> TokenCount {
        let tokens = self.available(access);
        self.lent = self.lent.saturating_add(tokens);
        tokens
    }

    /// Gives up to `wanted` tokens away: at most three quarters of what is available, so that the next own
    /// requests are served too.
    pub(super) fn lend(&mut self, wanted: TokenCount, access: StandbyAccess) -> TokenCount {
        let tokens = TokenCount(wanted.0.min(self.available(access).0 / 4 * 3));
        self.lent = self.lent.saturating_add(tokens);
        tokens
    }

    /// Takes tokens that another process gave away.
    pub(super) fn take_loan(&mut self, tokens: TokenCount) {
        self.borrowed = self.borrowed.saturating_add(tokens);
    }

    /// The record to write for a new grant. From now on no more than the smaller grant is used.
    pub(super) fn begin_change(
        &mut self,
        holder: IncarnationId,
        granted: HolderGrant,
    ) -> BudgetRecord {
        let mut record = self.record.clone();
        record.set_grant(holder, granted);
        self.granted = self.granted.least(granted);
        record
    }

    /// Takes a record as the store has it. If it is newer than the last one, it decides every earlier write with
    /// an unknown outcome: that write is in it, or expected an older version and can no longer take effect.
    /// A record that is not newer decides nothing, since such a write may still come.
    pub(super) fn take_record(
        &mut self,
        holder: IncarnationId,
        record: BudgetRecord,
        version: StoreVersion,
    ) {
        if version > self.version {
            self.granted = record.grant(holder);
            self.record = record;
            self.version = version;
            self.is_in_doubt = false;
        }
    }

    /// Notes that the record was as known at `now`.
    pub(super) fn mark_read(&mut self, now: Instant) {
        self.read_at = Some(now);
    }

    /// Notes that a write may or may not have been applied.
    pub(super) fn doubt_change(&mut self) {
        self.is_in_doubt = true;
    }

    /// Notes that a write was not applied.
    pub(super) fn revert_change(&mut self, holder: IncarnationId) {
        if !self.is_in_doubt {
            self.granted = self.record.grant(holder);
        }
    }
}
