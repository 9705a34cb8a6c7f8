use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, InstanceId, TokenCount, WorkspaceId};
use futures_channel::oneshot;

use super::{
    BudgetAccount, LoanOutcome, Reservation, ReserveOutcome, StandbyAccess, StoreAction,
    WantedLoan,
    budget_account::{HolderState, WaitingReservation},
};
use crate::{
    platform_api::{BudgetChange, BudgetEntry, CommitOutcome},
    witness::SpendCeilings,
};

/// The maximum age of the record by which a request is refused for lack of funds.
const MAX_RECORD_AGE: Duration = Duration::from_millis(500);

/// How long a request waits for funds while the store does not answer. This is many times the latency of a healthy
/// store, and long enough to ask other gateways for a loan.
const STORE_WAIT_TIME: Duration = Duration::from_millis(250);

/// The pause after a loan that brought less than a waiting request needs. It bounds the calls that a budget without tokens
/// causes.
const LOAN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The pause after a loan ahead of use that brought less than wanted.
const REFILL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The age up to which a presence record vouches for standby tokens that are newly granted. A process writes one at least
/// every two seconds while it holds any.
const MAX_PRESENCE_AGE: Duration = Duration::from_secs(4);

/// The budget accounts of all workspaces that this process has served. Makes decisions only; it performs no I/O.
#[derive(Debug)]
pub struct BudgetLedger {
    holder: IncarnationId,
    accounts: BTreeMap<WorkspaceId, BudgetAccount>,
    is_leaving: bool,
    /// When the latest presence record that may be in the store was written. Standby tokens are released by its age.
    presence_written_at: Option<Instant>,
    /// When the latest presence record that is certainly in the store was written. Without a recent one, no successor could
    /// return standby tokens, so the process takes none.
    presence_confirmed_at: Option<Instant>,
    /// Whether a witness knows the ceilings of this process's spending. Until then there are none.
    is_witnessed: bool,
    /// Whether the store answers. Standby tokens are spent only while it does not.
    is_store_reachable: bool,
}

impl BudgetLedger {
    /// Creates a ledger for the process identified by `holder`, which has no grants yet.
    pub fn new(holder: IncarnationId) -> Self {
        Self {
            holder,
            accounts: BTreeMap::new(),
            is_leaving: false,
            presence_written_at: None,
            presence_confirmed_at: None,
            is_witnessed: false,
            is_store_reachable: true,
        }
    }

    /// Returns the process whose grants this ledger holds.
    pub fn holder(&self) -> IncarnationId {
        self.holder
    }

    /// Returns the account of a workspace, or `None` if this process has none for it.
    pub fn account(&self, workspace: &WorkspaceId) -> Option<&BudgetAccount> {
        self.accounts.get(workspace)
    }

    /// Iterates over all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&WorkspaceId, &BudgetAccount)> {
        self.accounts.iter()
    }

    /// Sets which budgets this process is the primary of: the one that draws grants for the whole fleet. The others borrow
    /// from it.
    pub fn set_primary(&mut self, is_primary: impl Fn(&WorkspaceId) -> bool, now: Instant) {
        for (workspace, account) in &mut self.accounts {
            account.role.set_primary(is_primary(workspace), now);
        }
    }

    /// Reports whether this process holds tokens of any budget ahead of use, or standby tokens.
    pub fn is_holder(&self, now: Instant) -> bool {
        let is_holder = |account: &BudgetAccount| {
            account.role.is_drawing(now) || account.granted().standby > TokenCount(0)
        };
        self.accounts.values().any(is_holder)
    }

    /// Sets the prepaid total of a workspace, and creates its account if there is none.
    pub fn set_prepaid(&mut self, workspace: &WorkspaceId, prepaid: TokenCount, now: Instant) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.prepaid = prepaid;
        } else {
            let mut account = BudgetAccount::new(prepaid, now);
            if self.is_witnessed {
                account.begin_ceiling(StandbyAccess::Closed, now);
            }
            self.accounts.insert(workspace.clone(), account);
        }
    }

    /// Returns the access to standby tokens at `now`. It is closed while the store answers: working tokens are then
    /// obtained instead, so that the process can write its presence record again.
    pub fn standby_access(&self, now: Instant) -> StandbyAccess {
        if self.is_store_reachable {
            return StandbyAccess::Closed;
        }
        let age = self.presence_written_at.map(|at| now.saturating_duration_since(at));
        age.map_or(StandbyAccess::Closed, StandbyAccess::Aged)
    }

    /// Limits the spending to ceilings from now on, and returns them for a new witness. The ceilings in force stay.
    pub fn begin_witness(&mut self, now: Instant) -> SpendCeilings {
        let access = self.standby_access(now);
        for account in self.accounts.values_mut().filter(|_| !self.is_witnessed) {
            account.begin_ceiling(access, now);
        }
        self.is_witnessed = true;
        let ceilings = self.accounts.iter().filter_map(|(workspace, account)| {
            let ceiling = account.ceiling().filter(|ceiling| *ceiling > TokenCount(0))?;
            Some((workspace.clone(), ceiling))
        });
        ceilings.collect()
    }

    /// Lifts all ceilings, since the presence record names no witness.
    pub fn end_witness(&mut self) {
        self.is_witnessed = false;
        for account in self.accounts.values_mut() {
            account.lift_ceiling();
        }
    }

    /// Returns the ceilings to ask for, for waiting and expected requests.
    pub fn wanted_ceilings(&mut self, now: Instant) -> SpendCeilings {
        let access = self.standby_access(now);
        let wanted = |(workspace, account): (&WorkspaceId, &mut BudgetAccount)| {
            let ceiling = account.wanted_ceiling(access, now)?;
            account.begin_ceiling_request();
            Some((workspace.clone(), ceiling))
        };
        self.accounts.iter_mut().filter_map(wanted).collect()
    }

    /// Applies ceilings that the witness has confirmed, except those that were lowered meanwhile.
    pub fn raise_ceilings(&mut self, ceilings: &SpendCeilings) {
        for (workspace, tokens) in ceilings {
            if let Some(account) = self.accounts.get_mut(workspace) {
                account.raise_ceiling(*tokens);
            }
        }
    }

    /// Sets whether the store answers.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Reports whether the process may write its presence record, that is, no standby tokens are spent.
    pub fn can_write_presence(&self) -> bool {
        self.accounts.values().all(|account| account.overdrawn() == TokenCount(0))
    }

    /// Records the time of a presence record. Called before the record is written.
    pub fn record_presence(&mut self, now: Instant) {
        self.presence_written_at = Some(now);
        for account in self.accounts.values_mut() {
            account.lower_ceiling();
        }
    }

    /// Records that the store has confirmed the latest presence record.
    pub fn confirm_presence(&mut self) {
        self.presence_confirmed_at = self.presence_written_at;
    }

    /// Marks the process as leaving: it no longer holds tokens that requests do not need.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Gives away all available tokens, and returns the number for each workspace for another process to accept.
    pub fn give_away(&mut self, now: Instant) -> Vec<(WorkspaceId, TokenCount)> {
        let access = self.standby_access(now);
        let gifts = self
            .accounts
            .iter_mut()
            .map(|(workspace, account)| (workspace.clone(), account.give_away(access)));
        gifts.filter(|(_, tokens)| *tokens > TokenCount(0)).collect()
    }

    /// Reserves `need` tokens and returns `true` if they are available at once and no earlier request waits.
    pub fn try_reserve(&mut self, workspace: &WorkspaceId, need: TokenCount, now: Instant) -> bool {
        let access = self.standby_access(now);
        let Some(account) = self.accounts.get_mut(workspace) else { return false };
        account.rate.add(need.0, now);
        // Requests are served in order of arrival.
        account.waiting.is_empty() && account.try_reserve(need, access)
    }

    /// Queues a request that needs more tokens than are available, and returns the receiver of its outcome.
    pub(super) fn enqueue(
        &mut self,
        workspace: &WorkspaceId,
        need: TokenCount,
        now: Instant,
    ) -> oneshot::Receiver<ReserveOutcome> {
        let (reply, outcome) = oneshot::channel();
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.waiting.push_back(WaitingReservation { need, since: now, reply });
        }
        outcome
    }

    /// Releases a reservation of `need` tokens and charges the `spent` tokens that were used.
    pub fn settle(&mut self, workspace: &WorkspaceId, need: TokenCount, spent: TokenCount) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.settle(need, spent);
        }
    }

    /// Returns the tokens of a workspace that this process holds and that its open requests may leave unused.
    pub fn uncharged(&self, workspace: &WorkspaceId, now: Instant) -> TokenCount {
        let access = self.standby_access(now);
        self.accounts.get(workspace).map_or(TokenCount(0), |account| account.uncharged(access))
    }

    /// Records what another process, which asks for a loan, said about the tokens of a workspace that it holds.
    pub fn record_statement(
        &mut self,
        workspace: &WorkspaceId,
        borrower: &InstanceId,
        uncharged: TokenCount,
        now: Instant,
    ) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.record_statement(borrower, uncharged, now);
        }
    }

    /// Records that the part of an open request's tokens that it is charged in any case has changed.
    pub(super) fn change_certain_charge(
        &mut self,
        workspace: &WorkspaceId,
        before: TokenCount,
        now: TokenCount,
    ) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.change_certain_charge(before, now);
        }
    }

    /// Returns the next call to the store, which changes at most `max_changes` records.
    pub fn plan_call(&mut self, max_changes: usize, now: Instant) -> StoreAction {
        let needs_read = |account: &BudgetAccount| {
            let is_old = account.read_at().is_none_or(|at| now >= at + MAX_RECORD_AGE);
            let reachable = account.reachable();
            is_old
                && account.role.is_lender(now)
                && account.waiting.iter().any(|entry| entry.need > reachable)
        };
        if self.accounts.values().any(needs_read) {
            return StoreAction::Read;
        }
        let state = HolderState {
            holder: self.holder,
            has_presence: self.presence_confirmed_at.is_some_and(|at| now < at + MAX_PRESENCE_AGE),
            is_leaving: self.is_leaving,
        };
        let wanted_grant = |account: &BudgetAccount, is_batched| {
            let wanted = account.wanted_grant(state, is_batched, now);
            wanted.or_else(|| account.settling_grant(self.holder))
        };
        let is_due = self.accounts.values().any(|account| wanted_grant(account, false).is_some());
        if !is_due {
            return StoreAction::Idle;
        }
        let mut changes = Vec::new();
        for (workspace, account) in &mut self.accounts {
            if changes.len() == max_changes {
                break;
            }
            let wanted = wanted_grant(account, true);
            if let Some(granted) = wanted {
                let expected = account.version();
                let record = account.begin_change(self.holder, granted);
                changes.push(BudgetChange { workspace: workspace.clone(), expected, record });
            }
        }
        if changes.is_empty() { StoreAction::Idle } else { StoreAction::Write(changes) }
    }

    /// Applies the outcome of a write.
    pub fn apply_outcome(
        &mut self,
        changes: Vec<BudgetChange>,
        outcome: CommitOutcome,
        now: Instant,
    ) {
        for change in &changes {
            let Some(account) = self.accounts.get_mut(&change.workspace) else { continue };
            match outcome {
                CommitOutcome::Applied(_) => account.effort.applied += 1,
                CommitOutcome::Conflict(_) => account.effort.conflicts += 1,
                CommitOutcome::NotApplied | CommitOutcome::Unknown => account.effort.failures += 1,
            }
        }
        match outcome {
            CommitOutcome::Applied(version) => {
                for change in changes {
                    self.apply_record(&change.workspace, change.record, version, Some(now));
                }
            }
            CommitOutcome::Conflict(entries) => {
                self.revert_changes(&changes);
                self.apply_entries(entries, Some(now));
            }
            CommitOutcome::NotApplied => {
                self.revert_changes(&changes);
            }
            CommitOutcome::Unknown => {
                for change in &changes {
                    if let Some(account) = self.accounts.get_mut(&change.workspace) {
                        account.mark_in_doubt();
                    }
                }
            }
        }
    }

    /// Records that none of the changes was applied.
    fn revert_changes(&mut self, changes: &[BudgetChange]) {
        for change in changes {
            if let Some(account) = self.accounts.get_mut(&change.workspace) {
                account.revert_change();
            }
        }
    }

    /// Applies records read from the store. `fresh_at` is the time of the read, or `None` if the records may be stale.
    pub fn apply_entries(&mut self, entries: Vec<BudgetEntry>, fresh_at: Option<Instant>) {
        for entry in entries {
            self.apply_record(&entry.workspace, entry.record, entry.version, fresh_at);
        }
    }

    /// Records that all records were read at `now`, including those that do not exist.
    pub fn mark_all_read(&mut self, now: Instant) {
        for account in self.accounts.values_mut() {
            account.mark_read(now);
        }
    }

    fn apply_record(
        &mut self,
        workspace: &WorkspaceId,
        record: super::BudgetRecord,
        version: StoreVersion,
        fresh_at: Option<Instant>,
    ) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.apply_record(self.holder, record, version);
        if let Some(at) = fresh_at {
            account.mark_read(at);
        }
    }

    /// Lends up to `wanted` tokens of a workspace to another process, and returns their number; zero if fewer than `needed`
    /// are available. From now on, this process draws grants of the budget for a while.
    pub fn lend(
        &mut self,
        workspace: &WorkspaceId,
        needed: TokenCount,
        wanted: TokenCount,
        now: Instant,
    ) -> TokenCount {
        let access = self.standby_access(now);
        let Some(account) = self.accounts.get_mut(workspace) else { return TokenCount(0) };
        account.role.begin_lending(now);
        let tokens = account.lend(needed, wanted, access);
        // Loans count as use, since the grants must cover them.
        account.rate.add(tokens.0, now);
        tokens
    }

    /// Turns tokens that were reserved into a loan to another process.
    pub(super) fn lend_reserved(&mut self, workspace: &WorkspaceId, need: TokenCount) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.lend_reserved(need);
        }
    }

    /// Counts the answer of another process to a request for a loan.
    pub(super) fn count_loan(&mut self, workspace: &WorkspaceId, lent: TokenCount) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.effort.loans_asked += 1;
            account.effort.loans_received += u64::from(lent > TokenCount(0));
        }
    }

    /// Adds tokens that another process lent or gave away. Returns `false`, and adds nothing, if this process has no
    /// account for the workspace.
    pub fn accept_loan(&mut self, workspace: &WorkspaceId, tokens: TokenCount) -> bool {
        let account = self.accounts.get_mut(workspace);
        if let Some(account) = account {
            account.accept_loan(tokens);
            return true;
        }
        false
    }

    /// Returns the loans to ask for now, and marks their budgets as borrowing until [`Self::end_loan`].
    pub(super) fn begin_loans(&mut self, now: Instant) -> Vec<WantedLoan> {
        let access = self.standby_access(now);
        let wanted_loan = |(workspace, account): (&WorkspaceId, &mut BudgetAccount)| {
            let (needed, wanted) = account.wanted_loan(access, now)?;
            account.is_borrowing = true;
            Some(WantedLoan { workspace: workspace.clone(), needed, wanted })
        };
        self.accounts.iter_mut().filter_map(wanted_loan).collect()
    }

    /// Records the end of a loan that lacks `missing` of the wanted tokens. If the lender found the budget to be exhausted, the
    /// first waiting request is refused if it still lacks tokens.
    pub(super) fn end_loan(
        &mut self,
        loan: &WantedLoan,
        missing: TokenCount,
        outcome: LoanOutcome,
        now: Instant,
    ) {
        let access = self.standby_access(now);
        let Some(account) = self.accounts.get_mut(&loan.workspace) else { return };
        account.is_borrowing = false;
        if outcome == LoanOutcome::NoAnswer {
            account.role.begin_own_draws(now);
        }
        let available = account.available(access);
        let is_short = account.waiting.front().is_some_and(|entry| entry.need > available);
        account.next_loan_at = match (is_short, missing > TokenCount(0)) {
            (true, _) => Some(now + LOAN_RETRY_DELAY),
            (false, true) => Some(now + REFILL_RETRY_DELAY),
            (false, false) => None,
        };
        let is_exhausted = outcome == LoanOutcome::Exhausted;
        if is_short
            && is_exhausted
            && let Some(entry) = account.waiting.pop_front()
        {
            // The receiver is gone if the caller has disconnected.
            let _ = entry.reply.send(ReserveOutcome::Exhausted);
            account.next_loan_at = None;
        }
    }

    /// Takes the borrowed tokens that this process does not need, to return them.
    pub fn take_excess(&mut self, now: Instant) -> Vec<(WorkspaceId, TokenCount)> {
        let access = self.standby_access(now);
        let excess = self
            .accounts
            .iter_mut()
            .map(|(workspace, account)| (workspace.clone(), account.take_excess(access, now)));
        excess.filter(|(_, tokens)| *tokens > TokenCount(0)).collect()
    }

    /// Answers waiting requests and returns how many were answered. Requests that fit are served in order, those that
    /// cannot fit are refused as exhausted, and those that waited too long for the store are refused as unavailable.
    pub fn resolve_waiting(&mut self, now: Instant) -> usize {
        let access = self.standby_access(now);
        let mut answered = 0;
        for account in self.accounts.values_mut() {
            for entry in std::mem::take(&mut account.waiting) {
                let outcome = decide_waiting(self.holder, account, &entry, access, now);
                let Some(outcome) = outcome else {
                    account.waiting.push_back(entry);
                    continue;
                };
                answered += 1;
                let is_reserved = outcome == ReserveOutcome::Reserved;
                if entry.reply.send(outcome).is_err() && is_reserved {
                    // The caller has disconnected in the meantime.
                    account.settle(entry.need, TokenCount(0));
                }
            }
        }
        answered
    }

    /// Returns a guard for tokens that were just reserved.
    pub(super) fn reservation(
        ledger: &std::rc::Rc<std::cell::RefCell<Self>>,
        workspace: &WorkspaceId,
        need: TokenCount,
    ) -> Reservation {
        Reservation::new(std::rc::Rc::clone(ledger), workspace.clone(), need)
    }
}

/// Returns the outcome for a waiting request, or `None` if it keeps waiting.
fn decide_waiting(
    holder: IncarnationId,
    account: &mut BudgetAccount,
    entry: &WaitingReservation,
    access: StandbyAccess,
    now: Instant,
) -> Option<ReserveOutcome> {
    if entry.reply.is_canceled() {
        return Some(ReserveOutcome::Unavailable);
    }
    if account.try_reserve(entry.need, access) {
        return Some(ReserveOutcome::Reserved);
    }
    let is_fresh = account.read_at().is_some_and(|at| now < at + MAX_RECORD_AGE);
    if account.role.is_lender(now) && account.is_exhausted(entry.need, holder, now) && is_fresh {
        return Some(ReserveOutcome::Exhausted);
    }
    (now >= entry.since + STORE_WAIT_TIME).then_some(ReserveOutcome::Unavailable)
}
