use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bramleywind_types::{BudgetId, IncarnationId, InstanceId, TokenCount};

use crate::{LoanId, LoanRequest, LoanSettlement, retry_delay::RetryDelay};

/// The time after which a loan that is not settled is billed in full: its borrower is dead, or its request
/// has run longer than the limit for all requests.
const LOAN_LIFETIME: Duration = Duration::from_secs(600);
/// The number of replies to loan requests that are kept. A repeated request arrives within seconds, and a
/// router makes a few loans per second at most.
const MAX_LOAN_REPLIES: usize = 10_000;
/// The number of failed attempts after which a settlement is also written to the store. With the delays
/// this takes two seconds, in which a retry gets through if a message was merely lost.
const ATTEMPTS_BEFORE_STORE: u32 = 6;
/// The number of attempts to deliver a message to a lender, which take half an hour at the longest delay.
const MAX_ATTEMPTS: u32 = 900;

/// The loans that this router has given, and its unsent messages to routers that lent to it.
#[derive(Debug, Default)]
pub(crate) struct LoanRegistry {
    replies: BTreeMap<(IncarnationId, u64), LoanReply>,
    reply_order: VecDeque<(IncarnationId, u64)>,
    pub(crate) messages: Vec<LoanMessage>,
    pub(crate) messages_in_flight: bool,
    next_number: u64,
}

/// The reply to a loan request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LoanReply {
    /// The reservation is in progress.
    Pending,
    /// The reservation was made.
    Lent { loan: LoanId, budget: BudgetId, tokens: TokenCount, expiry: Instant },
    /// No tokens were lent for this request, and none will be; or the loan has expired.
    Nothing,
}

/// A message that is retried until it reaches the lender, who otherwise keeps the tokens reserved.
#[derive(Debug, Clone)]
pub(crate) struct LoanMessage {
    pub(crate) lender: InstanceId,
    pub(crate) budget: BudgetId,
    pub(crate) content: LoanMessageContent,
    /// Whether the settlement is also queued for the store, in case the lender is dead.
    pub(crate) has_late_settlement: bool,
    pub(crate) retry: RetryDelay,
}

/// The content of a [`LoanMessage`].
#[derive(Debug, Clone)]
pub(crate) enum LoanMessageContent {
    Settle(LoanSettlement),
    /// Cancels a request that got no answer: it is repeated to learn the id of the loan, which is then
    /// settled with zero tokens.
    Cancel(LoanRequest),
}

impl LoanMessage {
    pub(crate) fn new(lender: InstanceId, budget: BudgetId, content: LoanMessageContent) -> Self {
        Self { lender, budget, content, has_late_settlement: false, retry: RetryDelay::default() }
    }

    /// Reports whether delivery has failed so often that the settlement should also be written to the
    /// store.
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

    /// Records a reply. Returns the loan of the reply that is evicted for it, which the caller must bill
    /// in full.
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

    /// Removes the expired loans and returns them.
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
