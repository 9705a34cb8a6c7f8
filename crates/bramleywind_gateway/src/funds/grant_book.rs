use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount, WorkspaceId};
use futures_channel::oneshot;

use super::{
    BudgetAccount, StoreAction, Reservation, ReserveOutcome, StandbyAccess,
    budget_account::{HolderState, WaitingReservation},
};
use crate::platform_api::{BudgetChange, BudgetEntry, CommitOutcome};

/// How old a record may be when a request is refused for want of funds.
const REFUSAL_RECORD_AGE: Duration = Duration::from_millis(500);

/// How long a request waits for funds while the store does not answer. Many times what a store that is well needs, and
/// enough to ask the other gateways for a loan.
const WAIT_TIME: Duration = Duration::from_millis(250);

/// How long a request waits for the store before tokens are borrowed. The store answers in 4 ms when it is well.
const LOAN_PATIENCE: Duration = Duration::from_millis(40);

/// Seconds of the process's own use that a loan covers beyond what waits.
const LOAN_COVER_SECONDS: f64 = 2.0;

/// The budgets of all workspaces as this process sees them: decisions only, no calls.
#[derive(Debug)]
pub struct BudgetLedger {
    holder: IncarnationId,
    accounts: BTreeMap<WorkspaceId, BudgetAccount>,
    members: usize,
    is_leaving: bool,
    /// When the last presence record was written that may be in the store. Before the first one, no successor can give
    /// standby tokens back, so none are held.
    present_at: Option<Instant>,
    /// Whether the store answers. Standby tokens are for when it does not.
    is_store_reached: bool,
}

impl BudgetLedger {
    /// A book of the process run `holder`, which has no grants yet.
    pub fn new(holder: IncarnationId) -> Self {
        Self {
            holder,
            accounts: BTreeMap::new(),
            members: 1,
            is_leaving: false,
            present_at: None,
            is_store_reached: true,
        }
    }

    /// The account of a workspace, if it was used.
    pub fn account(&self, workspace: &WorkspaceId) -> Option<&BudgetAccount> {
        self.accounts.get(workspace)
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&WorkspaceId, &BudgetAccount)> {
        self.accounts.iter()
    }

    /// Takes the number of processes that may hold grants.
    pub fn set_member_count(&mut self, members: usize) {
        self.members = members;
    }

    /// Takes the prepaid total of a workspace.
    pub fn set_prepaid(&mut self, workspace: &WorkspaceId, prepaid: TokenCount, now: Instant) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.prepaid = prepaid;
        } else {
            self.accounts.insert(workspace.clone(), BudgetAccount::new(prepaid, now));
        }
    }

    /// Whether standby tokens may be spent now. None while the store answers: working tokens are drawn then, so that the
    /// process can write its presence again.
    pub fn standby_access(&self, now: Instant) -> StandbyAccess {
        if self.is_store_reached {
            return StandbyAccess::Closed;
        }
        let age = self.present_at.map(|at| now.saturating_duration_since(at));
        age.map_or(StandbyAccess::Closed, StandbyAccess::Aged)
    }

    /// Takes whether the store answers.
    pub fn set_store_reachable(&mut self, is_reached: bool) {
        self.is_store_reached = is_reached;
    }

    /// Whether the process may write its presence: no standby token is spent.
    pub fn can_write_presence(&self) -> bool {
        self.accounts.values().all(|account| account.overdrawn() == TokenCount(0))
    }

    /// Notes, before a presence record is written, that it says `now`.
    pub fn record_presence(&mut self, now: Instant) {
        self.present_at = Some(now);
    }

    /// From now on holds nothing beyond what requests need.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Gives all available tokens away, for another process to take.
    pub fn give_away(&mut self, now: Instant) -> Vec<(WorkspaceId, TokenCount)> {
        let access = self.standby_access(now);
        let gifts = self
            .accounts
            .iter_mut()
            .map(|(workspace, account)| (workspace.clone(), account.give_away(access)));
        gifts.filter(|(_, tokens)| *tokens > TokenCount(0)).collect()
    }

    /// Reserves tokens at once, if they are available.
    pub fn try_reserve(&mut self, workspace: &WorkspaceId, need: TokenCount, now: Instant) -> bool {
        let access = self.standby_access(now);
        let Some(account) = self.accounts.get_mut(workspace) else { return false };
        account.rate.add(need.0, now);
        // Who came first is served first.
        account.waiting.is_empty() && account.try_reserve(need, access)
    }

    /// Queues a request that needs more than is available.
    pub(super) fn wait(
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

    /// Ends a reservation of `need` tokens, of which `spent` were used.
    pub fn settle(&mut self, workspace: &WorkspaceId, need: TokenCount, spent: TokenCount) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.settle(need, spent);
        }
    }

    /// What to ask of the store next: at most `most` records.
    pub fn plan(&mut self, most: usize, now: Instant) -> StoreAction {
        let needs_read = |account: &BudgetAccount| {
            let is_old = account.read_at().is_none_or(|at| now >= at + REFUSAL_RECORD_AGE);
            let reachable = account.reachable();
            is_old && account.waiting.iter().any(|entry| entry.need > reachable)
        };
        if self.accounts.values().any(needs_read) {
            return StoreAction::Read;
        }
        let state = HolderState {
            holder: self.holder,
            members: self.members,
            is_present: self.present_at.is_some(),
            is_leaving: self.is_leaving,
        };
        let wanted_grant =
            |account: &BudgetAccount, is_joining| account.wanted_grant(state, is_joining, now);
        let is_due = self.accounts.values().any(|account| wanted_grant(account, false).is_some());
        if !is_due {
            return StoreAction::Idle;
        }
        let mut changes = Vec::new();
        for (workspace, account) in &mut self.accounts {
            if changes.len() == most {
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

    /// Takes what a write came to.
    pub fn apply(&mut self, changes: Vec<BudgetChange>, outcome: CommitOutcome, now: Instant) {
        match outcome {
            CommitOutcome::Applied(version) => {
                for change in changes {
                    self.take(&change.workspace, change.record, version, Some(now));
                }
            }
            CommitOutcome::Conflict(entries) => {
                self.revert(&changes);
                self.apply_entries(entries, Some(now));
            }
            CommitOutcome::NotApplied => {
                self.revert(&changes);
            }
            CommitOutcome::Unknown => {
                for change in &changes {
                    if let Some(account) = self.accounts.get_mut(&change.workspace) {
                        account.doubt_change();
                    }
                }
            }
        }
    }

    /// Notes that none of the changes was applied.
    fn revert(&mut self, changes: &[BudgetChange]) {
        for change in changes {
            if let Some(account) = self.accounts.get_mut(&change.workspace) {
                account.revert_change(self.holder);
            }
        }
    }

    /// Takes records that were read. `fresh_at` is when, if they are not stale.
    pub fn apply_entries(&mut self, entries: Vec<BudgetEntry>, fresh_at: Option<Instant>) {
        for entry in entries {
            self.take(&entry.workspace, entry.record, entry.version, fresh_at);
        }
    }

    /// Notes that all records were read at `now`, also those that do not exist.
    pub fn mark_all_read(&mut self, now: Instant) {
        for account in self.accounts.values_mut() {
            account.mark_read(now);
        }
    }

    fn take(
        &mut self,
        workspace: &WorkspaceId,
        record: super::BudgetRecord,
        version: StoreVersion,
        fresh_at: Option<Instant>,
    ) {
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        account.take_record(self.holder, record, version);
        if let Some(at) = fresh_at {
            account.mark_read(at);
        }
    }

    /// Gives tokens of a workspace to another process. Returns how many.
    pub fn lend(
        &mut self,
        workspace: &WorkspaceId,
        wanted: TokenCount,
        now: Instant,
    ) -> TokenCount {
        let access = self.standby_access(now);
        let account = self.accounts.get_mut(workspace);
        account.map_or(TokenCount(0), |account| account.lend(wanted, access))
    }

    /// Takes tokens that another process gave. False if the workspace is not known here: nothing is taken.
    pub fn take_loan(&mut self, workspace: &WorkspaceId, tokens: TokenCount) -> bool {
        let account = self.accounts.get_mut(workspace);
        if let Some(account) = account {
            account.take_loan(tokens);
            return true;
        }
        false
    }

    /// The tokens to borrow for requests that have waited for the store in vain.
    pub fn wanted_loans(&self, now: Instant) -> Vec<(WorkspaceId, TokenCount)> {
        let access = self.standby_access(now);
        let has_waited = |entry: &WaitingReservation| now >= entry.since + LOAN_PATIENCE;
        let short =
            self.accounts.iter().filter(|(_, account)| account.waiting.iter().any(has_waited));
        short
            .map(|(workspace, account)| {
                let ahead = (account.rate.at(now) * LOAN_COVER_SECONDS) as u64;
                let need = account.waiting_tokens().saturating_sub(account.available(access));
                (workspace.clone(), need.saturating_add(TokenCount(ahead)))
            })
            .collect()
    }

    /// Answers the requests that wait: those that fit are served in order, those that can't fit are refused, and
    /// those that waited too long for the store are told so. Returns how many were answered.
    pub fn resolve_waiting(&mut self, now: Instant) -> usize {
        let access = self.standby_access(now);
        let mut answered = 0;
        for account in self.accounts.values_mut() {
            for entry in std::mem::take(&mut account.waiting) {
                let outcome = decide_waiting(account, &entry, access, now);
                let Some(outcome) = outcome else {
                    account.waiting.push_back(entry);
                    continue;
                };
                answered += 1;
                let is_reserved = outcome == ReserveOutcome::Reserved;
                if entry.reply.send(outcome).is_err() && is_reserved {
                    // The caller has gone away meanwhile.
                    account.settle(entry.need, TokenCount(0));
                }
            }
        }
        answered
    }

    /// A reservation of tokens that were just reserved.
    pub(super) fn reservation(
        book: &std::rc::Rc<std::cell::RefCell<Self>>,
        workspace: &WorkspaceId,
        need: TokenCount,
    ) -> Reservation {
        Reservation::new(std::rc::Rc::clone(book), workspace.clone(), need)
    }
}

fn decide_waiting(
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
    let reachable = account.reachable();
    let is_fresh = account.read_at().is_some_and(|at| now < at + REFUSAL_RECORD_AGE);
    if entry.need > reachable && is_fresh {
        return Some(ReserveOutcome::Exhausted);
    }
    (now >= entry.since + WAIT_TIME).then_some(ReserveOutcome::Unavailable)
}
