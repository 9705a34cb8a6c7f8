use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bramleywind_types::{BudgetId, IncarnationId, InstanceId, TokenCount};

use crate::{LoanId, LoanRequest, LoanSettlement, retry_delay::RetryDelay};

/// A loan that is not settled after this time is billed in full: its borrower is dead, or its request runs
/// longer than any is allowed to.
const LOAN_LIFETIME: Duration = Duration::from_secs(600);
/// How many answers to loan requests are remembered. A repeated request comes within seconds, and a router
/// makes a few loans a second at most.
const MAX_LOAN_REPLIES: usize = 10_000;
/// After so many attempts a settlement is also tried in the store: two seconds with the delays, in which a
/// message that was merely lost has arrived.
const ATTEMPTS_BEFORE_STORE: u32 = 6;
/// How many attempts to reach a lender are made: half an hour at the longest delay.
const MAX_ATTEMPTS: u32 = 900;

/// The loans that this router gave, and the messages it owes to routers that lent to it.
#[derive(Debug, Default)]
pub(crate) struct LoanRegistry {
    replies: BTreeMap<(IncarnationId, u64), LoanReply>,
    reply_order: VecDeque<(IncarnationId, u64)>,
    pub(crate) messages: Vec<LoanMessage>,
    pub(crate) messages_in_flight: bool,
    next_number: u64,
}

/// The answer to a loan request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LoanReply {
    /// The reservation waits for a witness.
    Pending,
    /// The reservation was made.
    Lent { loan: LoanId, budget: BudgetId, tokens: TokenCount, expiry: Instant },
    /// Nothing was lent, and nothing will be for this request.
    Nothing,
}

/// A message that must reach a lender, who otherwise keeps the tokens reserved.
#[derive(Debug, Clone)]
pub(crate) struct LoanMessage {
    pub(crate) lender: InstanceId,
    pub(crate) budget: BudgetId,
    pub(crate) content: LoanMessageContent,
    /// The settlement is also tried in the store, in case the lender is dead.
    pub(crate) has_late_settlement: bool,
    pub(crate) retry: RetryDelay,
}

/// What a lender is to be told.
#[derive(Debug, Clone)]
pub(crate) enum LoanMessageContent {
    Settle(LoanSettlement),
    /// A request got no answer. It is repeated to learn the loan's name, and the loan is then settled with
    /// nothing.
    Cancel(LoanRequest),
}

impl LoanMessage {
    pub(crate) fn new(lender: InstanceId, budget: BudgetId, content: LoanMessageContent) -> Self {
        Self { lender, budget, content, has_late_settlement: false, retry: RetryDelay::default() }
    }

    pub(crate) fn needs_store_settlement(&self) -> bool {
        !self.has_late_settlement && self.retry.failures() >= ATTEMPTS_BEFORE_STORE
    }

    pub(crate) fn has_exhausted_attempts(&self) -> bool {
        self.retry.failures() >= MAX_ATTEMPTS
    }
}

impl LoanRegistry {
    pub(crate) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(crate) fn reply(&self, borrower: IncarnationId, number: u64) -> Option<&LoanReply> {
        self.replies.get(&(borrower, number))
    }

    /// Remembers an answer. Returns a loan that is forgotten for it, which is to be billed in full.
    pub(crate) fn record_reply(
        &mut self,
        borrower: IncarnationId,
        number: u64,
        reply: LoanReply,
    ) -> Option<(LoanId, BudgetId)> {
        let request = (borrower, number);
        if self.replies.insert(request, reply).is_none() {
            self.reply_order.push_back(request);
        }
        if self.reply_order.len() <= MAX_LOAN_REPLIES {
            return None;
        }
        let oldest = self.reply_order.pop_front()?;
        match self.replies.remove(&oldest)? {
            LoanReply::Lent { loan, budget, .. } => Some((loan, budget)),
            LoanReply::Pending | LoanReply::Nothing => None,
        }
    }

    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<(LoanId, BudgetId)> {
        let mut expired = Vec::new();
        for reply in self.replies.values_mut() {
            if let LoanReply::Lent { loan, budget, expiry, .. } = reply
                && *expiry <= now
            {
                expired.push((*loan, budget.clone()));
                *reply = LoanReply::Nothing;
            }
        }
        expired
    }

    pub(crate) fn expiry(now: Instant) -> Instant {
        now + LOAN_LIFETIME
    }
}
