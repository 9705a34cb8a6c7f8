use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bramleywind_types::{TokenCount, WorkspaceId};
use futures_channel::oneshot;

use super::{BudgetLedger, Reservation, ReserveOutcome};

/// A future that resolves when a queued reservation is answered. If it is dropped after the tokens were reserved, it
/// releases them.
#[derive(Debug)]
pub(super) struct PendingReservation<'a> {
    ledger: &'a Rc<RefCell<BudgetLedger>>,
    workspace: &'a WorkspaceId,
    need: TokenCount,
    reply: oneshot::Receiver<ReserveOutcome>,
    is_answered: bool,
}

impl<'a> PendingReservation<'a> {
    pub(super) fn new(
        ledger: &'a Rc<RefCell<BudgetLedger>>,
        workspace: &'a WorkspaceId,
        need: TokenCount,
        reply: oneshot::Receiver<ReserveOutcome>,
    ) -> Self {
        Self { ledger, workspace, need, reply, is_answered: false }
    }
}

impl Future for PendingReservation<'_> {
    type Output = Result<Reservation, ReserveOutcome>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let reply = ready!(Pin::new(&mut self.reply).poll(context));
        self.is_answered = true;
        Poll::Ready(match reply {
            Ok(ReserveOutcome::Reserved) => {
                Ok(BudgetLedger::reservation(self.ledger, self.workspace, self.need))
            }
            Ok(outcome) => Err(outcome),
            // The funds manager has ended together with the process.
            Err(oneshot::Canceled) => Err(ReserveOutcome::Unavailable),
        })
    }
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        if !self.is_answered && self.reply.try_recv() == Ok(Some(ReserveOutcome::Reserved)) {
            self.ledger.borrow_mut().settle(self.workspace, self.need, TokenCount(0));
        }
    }
}
