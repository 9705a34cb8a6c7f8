use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, InstanceId, TokenCount};
use futures_channel::oneshot;

use super::{
    BudgetRecord, FundsEffort, GrantInput, GrantSizing, HoldPurpose, HolderGrant, LenderRole,
    ReserveOutcome, StandbyAccess, UseRate,
};

/// The state of one workspace's budget as known to this process, and this process's spending.
#[derive(Debug)]
pub struct BudgetAccount {
    /// The workspace's prepaid total in the newest configuration.
    pub(super) prepaid: TokenCount,
    /// This process's grant. While the outcome of a write is unknown, the smaller of the two possible values.
    granted: HolderGrant,
    /// The grant before the latest write, which applies again if that write is refused.
    granted_before: HolderGrant,
    /// The most tokens that may be taken from the own grants in all, which a witness knows; `None` if there is no witness.
    ceiling: Option<TokenCount>,
    /// Whether the ceiling was lowered since a higher one was asked for, so that the answer is void.
    is_request_void: bool,
    /// Tokens from other processes' grants that this process may use.
    borrowed: TokenCount,
    /// Tokens from this process's grant that other processes may use.
    lent: TokenCount,
    spent: TokenCount,
    reserved: TokenCount,
    /// The part of the reserved tokens that open requests are charged in any case.
    certain_charges: TokenCount,
    /// What other processes said when they asked this one for a loan.
    statements: BTreeMap<InstanceId, BorrowerStatement>,
    record: BudgetRecord,
    version: StoreVersion,
    /// Whether the outcome of a write is unknown.
    is_in_doubt: bool,
    /// When the record was last read from the store; `None` if it never was.
    read_at: Option<Instant>,
    pub(super) rate: UseRate,
    pub(super) waiting: VecDeque<WaitingReservation>,
    pub(super) effort: FundsEffort,
    pub(super) role: LenderRole,
    /// Whether a request for a loan is outstanding.
    pub(super) is_borrowing: bool,
    /// When the next request for a loan may be made.
    pub(super) next_loan_at: Option<Instant>,
}

/// Seconds of the process's own use that it borrows ahead of its requests. All processes together then hold a fraction of
/// a second of the fleet's use where the others cannot reach it.
const BORROW_SECONDS: f64 = 0.2;

/// Seconds of the process's use by which a ceiling exceeds what is taken. What is below the ceiling of an ended process counts as
/// spent, and half of it must outlast the replacement of a witness.
const CEILING_SECONDS: f64 = 0.75;

/// The number of requests by which a ceiling exceeds what is taken at least. Requests of a workspace come in bursts.
const CEILING_REQUESTS: f64 = 3.0;

/// The multiple of the tokens held ahead of use above which a process returns borrowed tokens.
const RETURN_LOAN_FACTOR: u64 = 2;

/// The fraction of the prepaid total that an excess of borrowed tokens must exceed to be returned.
const MIN_LOAN_RETURN_SHARE: f64 = 0.000_5;

/// How long a borrower's statement is used, so that one that has ended does not count for long. A borrower that lacks tokens
/// repeats it several times a second.
const STATEMENT_VALIDITY: Duration = Duration::from_secs(2);

/// What another process said about the tokens of the budget that it holds.
#[derive(Debug, Clone, Copy)]
struct BorrowerStatement {
    uncharged: TokenCount,
    valid_until: Instant,
}

/// A queued request that waits for tokens.
#[derive(Debug)]
pub(super) struct WaitingReservation {
    pub(super) need: TokenCount,
    pub(super) since: Instant,
    pub(super) reply: oneshot::Sender<ReserveOutcome>,
}

/// The state of the process that applies to its grants of all budgets.
#[derive(Debug, Clone, Copy)]
pub(super) struct HolderState {
    pub(super) holder: IncarnationId,
    pub(super) has_presence: bool,
    pub(super) is_leaving: bool,
}

impl BudgetAccount {
    pub(super) fn new(prepaid: TokenCount, now: Instant) -> Self {
        Self {
            prepaid,
            granted: HolderGrant::default(),
            granted_before: HolderGrant::default(),
            ceiling: None,
            is_request_void: false,
            borrowed: TokenCount(0),
            lent: TokenCount(0),
            spent: TokenCount(0),
            reserved: TokenCount(0),
            certain_charges: TokenCount(0),
            statements: BTreeMap::new(),
            record: BudgetRecord::default(),
            version: StoreVersion::MISSING,
            is_in_doubt: false,
            read_at: None,
            rate: UseRate::new(now),
            waiting: VecDeque::new(),
            effort: FundsEffort::default(),
            role: LenderRole::default(),
            is_borrowing: false,
            next_loan_at: None,
        }
    }

    /// Returns the tokens that can be reserved now.
    pub fn available(&self, access: StandbyAccess) -> TokenCount {
        let spendable = self.spendable(access).min(self.ceiling.unwrap_or(TokenCount(u64::MAX)));
        spendable.saturating_add(self.borrowed).saturating_sub(self.committed())
    }

    /// Returns the tokens that this process holds unspent, whether or not its ceiling covers them.
    fn unspent_held(&self, access: StandbyAccess) -> TokenCount {
        self.spendable(access).saturating_add(self.borrowed).saturating_sub(self.committed())
    }

    /// Returns the tokens of the own grant that may be spent.
    fn spendable(&self, access: StandbyAccess) -> TokenCount {
        self.granted.working.saturating_add(access.spendable(self.granted))
    }

    /// Returns the tokens that are taken from the own grants.
    fn taken(&self) -> TokenCount {
        self.committed().saturating_sub(self.borrowed)
    }

    /// Returns the ceiling of the tokens that are taken from the own grants, if there is one.
    pub fn ceiling(&self) -> Option<TokenCount> {
        self.ceiling
    }

    /// Sets a ceiling that covers what is taken and the requests that are expected next.
    pub(super) fn begin_ceiling(&mut self, access: StandbyAccess, now: Instant) {
        let ahead = self.taken().saturating_add(self.ceiling_headroom(now));
        self.ceiling = Some(ahead.min(self.spendable(access)).max(self.taken()));
    }

    /// Returns the ceiling to ask for, or `None` if the present one is sufficient.
    pub(super) fn wanted_ceiling(&self, access: StandbyAccess, now: Instant) -> Option<TokenCount> {
        let ceiling = self.ceiling?;
        let (taken, headroom) = (self.taken(), self.ceiling_headroom(now));
        let waiting = self.waiting_tokens();
        let wanted = taken.saturating_add(waiting).saturating_add(headroom);
        let wanted = wanted.min(self.spendable(access));
        let is_low = ceiling.saturating_sub(taken).0 < headroom.0 / 2;
        (wanted > ceiling && (is_low || waiting > TokenCount(0))).then_some(wanted)
    }

    /// Records that a higher ceiling is asked for.
    pub(super) fn begin_ceiling_request(&mut self) {
        self.is_request_void = false;
    }

    /// Raises the ceiling, unless it was lowered since this was asked for.
    pub(super) fn raise_ceiling(&mut self, tokens: TokenCount) {
        if !self.is_request_void {
            self.ceiling = self.ceiling.map(|ceiling| ceiling.max(tokens));
        }
    }

    /// Lowers the ceiling to the working tokens. Standby tokens are then spent only after the witness has confirmed that, and no later
    /// than it ended.
    pub(super) fn lower_ceiling(&mut self) {
        let working = self.granted.working;
        self.is_request_void = true;
        self.ceiling = self.ceiling.map(|ceiling| ceiling.min(working));
    }

    /// Removes the ceiling.
    pub(super) fn lift_ceiling(&mut self) {
        self.ceiling = None;
    }

    /// Returns the tokens by which a ceiling exceeds what is taken.
    fn ceiling_headroom(&self, now: Instant) -> TokenCount {
        let for_use = self.rate.at(now) * CEILING_SECONDS;
        TokenCount(for_use.max(self.rate.mean_need() * CEILING_REQUESTS) as u64)
    }

    /// Returns the tokens that are spent, reserved or lent in excess of the working and borrowed tokens.
    pub(super) fn overdrawn(&self) -> TokenCount {
        self.committed().saturating_sub(self.granted.working.saturating_add(self.borrowed))
    }

    /// Returns the tokens that are spent, reserved or lent.
    fn committed(&self) -> TokenCount {
        self.spent.saturating_add(self.reserved).saturating_add(self.lent)
    }

    /// Returns the tokens that no process holds according to the last known record.
    pub fn pool(&self) -> TokenCount {
        self.record.pool(self.prepaid)
    }

    /// Returns the tokens that this process can obtain: its own unspent working and standby tokens, and the pool.
    pub fn reachable(&self) -> TokenCount {
        self.unspent_held(StandbyAccess::Open).saturating_add(self.pool())
    }

    /// Returns the tokens that are certainly unspent according to the last known record: those that this process can obtain,
    /// and the other processes' standby tokens.
    pub(super) fn unspent(&self, holder: IncarnationId) -> TokenCount {
        self.reachable().saturating_add(self.record.others(holder).map(|grant| grant.standby).sum())
    }

    /// Returns the tokens that this process holds and that its open requests may leave unused.
    pub fn uncharged(&self, access: StandbyAccess) -> TokenCount {
        self.unspent_held(access).saturating_add(self.reserved).saturating_sub(self.certain_charges)
    }

    /// Returns the tokens that other processes hold and that their open requests may leave unused, as they stated lately.
    pub fn uncharged_at_borrowers(&self, now: Instant) -> TokenCount {
        let valid = self.statements.values().filter(|statement| now < statement.valid_until);
        valid.map(|statement| statement.uncharged).sum()
    }

    /// Returns whether `need` tokens exceed all that is known not to be used up: the tokens that no request has reserved, and
    /// those that open requests may leave unused.
    pub(super) fn is_exhausted(
        &self,
        need: TokenCount,
        holder: IncarnationId,
        now: Instant,
    ) -> bool {
        let own = self.reserved.saturating_sub(self.certain_charges);
        let known = self.unspent(holder).saturating_add(own);
        need > known.saturating_add(self.uncharged_at_borrowers(now))
    }

    /// Records what another process said about the tokens that it holds.
    pub(super) fn record_statement(
        &mut self,
        borrower: &InstanceId,
        uncharged: TokenCount,
        now: Instant,
    ) {
        self.statements.retain(|_, statement| now < statement.valid_until);
        let statement = BorrowerStatement { uncharged, valid_until: now + STATEMENT_VALIDITY };
        self.statements.insert(borrower.clone(), statement);
    }

    /// Records that the part of an open request's tokens that it is charged in any case has changed.
    pub(super) fn change_certain_charge(&mut self, before: TokenCount, now: TokenCount) {
        self.certain_charges = self.certain_charges.saturating_sub(before).saturating_add(now);
    }

    /// Returns this process's grant, which includes spent tokens.
    pub fn granted(&self) -> HolderGrant {
        self.granted
    }

    /// Returns the tokens from other processes' grants that this process may use.
    pub fn borrowed(&self) -> TokenCount {
        self.borrowed
    }

    /// Returns the tokens of this process's grant that other processes may use.
    pub fn lent(&self) -> TokenCount {
        self.lent
    }

    /// Returns the tokens reserved for open requests.
    pub fn reserved(&self) -> TokenCount {
        self.reserved
    }

    /// Returns the sum of the other processes' grants, spent tokens included, and their number.
    pub fn others_granted(&self, holder: IncarnationId) -> (HolderGrant, usize) {
        let mut sum = HolderGrant::default();
        let mut count = 0;
        for grant in self.record.others(holder) {
            sum.working = sum.working.saturating_add(grant.working);
            sum.standby = sum.standby.saturating_add(grant.standby);
            count += 1;
        }
        (sum, count)
    }

    /// Returns what this process has done so far to obtain tokens.
    pub fn effort(&self) -> FundsEffort {
        self.effort
    }

    /// Returns the workspace's prepaid total in the newest configuration.
    pub fn prepaid(&self) -> TokenCount {
        self.prepaid
    }

    /// Returns the tokens charged to requests of this process.
    pub fn spent(&self) -> TokenCount {
        self.spent
    }

    /// Returns this process's usage rate in tokens per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.rate.at(now)
    }

    /// Returns when the record was last read.
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns the record version that the next write expects.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Reserves `need` tokens and returns `true` if enough are available.
    pub(super) fn try_reserve(&mut self, need: TokenCount, access: StandbyAccess) -> bool {
        if self.available(access) < need {
            return false;
        }
        self.reserved = self.reserved.saturating_add(need);
        true
    }

    /// Releases a reservation of `need` tokens and charges the `spent` tokens that were used.
    pub(super) fn settle(&mut self, need: TokenCount, spent: TokenCount) {
        self.reserved = self.reserved.saturating_sub(need);
        self.spent = self.spent.saturating_add(spent);
    }

    /// Returns the tokens that queued requests of this process wait for.
    pub(super) fn waiting_tokens(&self) -> TokenCount {
        self.waiting.iter().map(|entry| entry.need).sum()
    }

    /// Returns the tokens that waiting requests need from a grant of this process.
    fn waiting_for_grant(&self, now: Instant) -> TokenCount {
        if self.role.draws_for_waiting(now) { self.waiting_tokens() } else { TokenCount(0) }
    }

    /// Returns the tokens to hold ahead of use.
    fn borrow_target(&self, now: Instant) -> TokenCount {
        TokenCount((self.rate.at(now) * BORROW_SECONDS) as u64)
    }

    /// Returns the loan to ask for: the tokens that the first waiting request needs, and the tokens wanted in all. `None`
    /// if this process draws grants itself or holds enough.
    pub(super) fn wanted_loan(
        &self,
        access: StandbyAccess,
        now: Instant,
    ) -> Option<(TokenCount, TokenCount)> {
        let is_paused = self.next_loan_at.is_some_and(|at| now < at);
        if self.role.is_lender(now) || self.is_borrowing || is_paused {
            return None;
        }
        let available = self.available(access);
        let target = self.borrow_target(now);
        let first = self.waiting.front().map_or(TokenCount(0), |entry| entry.need);
        if first <= available && available.0 >= target.0 / 2 {
            return None;
        }
        let wanted = self.waiting_tokens().saturating_add(target).saturating_sub(available);
        Some((first.saturating_sub(available), wanted))
    }

    /// Takes the borrowed tokens that this process does not need, to return them to the lender.
    pub(super) fn take_excess(&mut self, access: StandbyAccess, now: Instant) -> TokenCount {
        let target = self.borrow_target(now);
        let excess = self.available(access).saturating_sub(target).min(self.borrowed);
        let min_excess = (self.prepaid.0 as f64 * MIN_LOAN_RETURN_SHARE) as u64;
        let is_due = excess.0 > min_excess && excess.0 > target.0 * (RETURN_LOAN_FACTOR - 1);
        if self.role.is_lender(now) || !self.waiting.is_empty() || !is_due {
            return TokenCount(0);
        }
        self.borrowed = self.borrowed.saturating_sub(excess);
        excess
    }

    /// Returns the grant to request from the store, or `None` if the current one is to be kept.
    pub(super) fn wanted_grant(
        &self,
        state: HolderState,
        is_batched: bool,
        now: Instant,
    ) -> Option<HolderGrant> {
        let purpose = match (state.is_leaving, self.role.is_drawing(now)) {
            (true, _) => HoldPurpose::Leaving,
            (false, true) => HoldPurpose::Lending,
            (false, false) => HoldPurpose::Borrowing(self.borrow_target(now)),
        };
        let others = || self.record.others(state.holder);
        let input = GrantInput {
            prepaid: self.prepaid,
            pool: self.pool(),
            available: self.unspent_held(StandbyAccess::Closed),
            standby: self.granted.standby,
            overdrawn: self.overdrawn(),
            waiting: self.waiting_for_grant(now),
            rate: self.rate.at(now),
            granted_rate: self.granted.use_rate,
            others_rate: others().map(|grant| grant.use_rate.0 as f64).sum(),
            others_standby: others().map(|grant| grant.standby).sum(),
            has_presence: state.has_presence,
            is_batched,
            purpose,
        };
        match GrantSizing::decide(&input) {
            GrantSizing::Keep => None,
            GrantSizing::Hold(unspent) => {
                let committed = self.committed().saturating_add(unspent.working);
                let working = committed.saturating_sub(self.borrowed);
                // Borrowed tokens beyond the committed ones are in another process's grant already.
                let obtainable = self.granted.total().saturating_add(self.pool());
                let standby = unspent.standby.min(obtainable.saturating_sub(working));
                let wanted = HolderGrant { working, standby, ..unspent };
                let is_equal = (wanted.working, wanted.standby)
                    == (self.granted.working, self.granted.standby);
                let is_rate_due = wanted.use_rate > self.granted.use_rate;
                (!is_equal || is_rate_due).then_some(wanted)
            }
        }
    }

    /// Gives away all available tokens when the process stops, and returns their number.
    pub(super) fn give_away(&mut self, access: StandbyAccess) -> TokenCount {
        let tokens = self.available(access);
        self.lent = self.lent.saturating_add(tokens);
        tokens
    }

    /// Lends up to `wanted` tokens to another process, and returns their number. Lends nothing if fewer than `needed` are
    /// available, or if earlier requests wait.
    pub(super) fn lend(
        &mut self,
        needed: TokenCount,
        wanted: TokenCount,
        access: StandbyAccess,
    ) -> TokenCount {
        let available = self.available(access);
        if available < needed || !self.waiting.is_empty() {
            return TokenCount(0);
        }
        let tokens = wanted.max(needed).min(available);
        self.lent = self.lent.saturating_add(tokens);
        tokens
    }

    /// Turns a reservation of `need` tokens into a loan to another process.
    pub(super) fn lend_reserved(&mut self, need: TokenCount) {
        self.reserved = self.reserved.saturating_sub(need);
        self.lent = self.lent.saturating_add(need);
    }

    /// Adds tokens that another process lent or gave away.
    pub(super) fn accept_loan(&mut self, tokens: TokenCount) {
        self.borrowed = self.borrowed.saturating_add(tokens);
    }

    /// Returns the record to write for a new grant. Until the outcome is known, only the smaller of the old and new
    /// grant is used.
    pub(super) fn begin_change(
        &mut self,
        holder: IncarnationId,
        granted: HolderGrant,
    ) -> BudgetRecord {
        let mut record = self.record.clone();
        record.set_grant(holder, granted);
        self.granted_before = self.granted;
        self.granted = self.granted.component_min(granted);
        if self.granted.working < self.granted_before.working {
            self.lower_ceiling();
        }
        record
    }

    /// Applies a record read from the store.
    ///
    /// A record newer than the last one settles every earlier write with an unknown outcome: the record either includes
    /// that write, or the write expected an older version and can no longer take effect. A record that is not newer
    /// settles nothing, since such a write may still be applied.
    pub(super) fn apply_record(
        &mut self,
        holder: IncarnationId,
        record: BudgetRecord,
        version: StoreVersion,
    ) {
        if version > self.version {
            let before = self.granted.working;
            self.granted = record.grant(holder);
            if self.granted.working < before {
                self.lower_ceiling();
            }
            self.record = record;
            self.version = version;
            self.is_in_doubt = false;
        }
    }

    /// Records that the known record was confirmed at `now`.
    pub(super) fn mark_read(&mut self, now: Instant) {
        self.read_at = Some(now);
    }

    /// Records that a write may or may not have been applied.
    pub(super) fn mark_in_doubt(&mut self) {
        self.is_in_doubt = true;
    }

    /// Returns the grant to write so that an earlier write with an unknown outcome is settled, or `None` if none is in doubt. The write
    /// has the same effect as none, except that an earlier one can no longer take effect after it.
    pub(super) fn settling_grant(&self, holder: IncarnationId) -> Option<HolderGrant> {
        (self.is_in_doubt && self.version != StoreVersion::MISSING)
            .then(|| self.record.grant(holder))
    }

    /// Records that the latest write was not applied. An earlier one may still be in doubt.
    pub(super) fn revert_change(&mut self) {
        self.granted = self.granted_before;
    }
}
