use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    time::Duration,
};

use futures_channel::oneshot;

use crate::{
    RequestFailure,
    outbound_queue::OutboundSender,
    wire::{
        DialerMessage, PeerIdentity, PeerReply, PeerRequest, ReplyEnvelope, RequestEnvelope,
        encode_frame,
    },
};

/// The sending side of a dialed connection, which matches replies to requests.
#[derive(Debug)]
pub(crate) struct PeerLink {
    pub(crate) peer: PeerIdentity,
    pub(crate) address: SocketAddr,
    outbound: OutboundSender,
    pending: RefCell<HashMap<u64, oneshot::Sender<PeerReply>>>,
    next_correlation: Cell<u64>,
}

impl PeerLink {
    pub(crate) fn new(peer: PeerIdentity, address: SocketAddr, outbound: OutboundSender) -> Self {
        let pending = RefCell::default();
        Self { peer, address, outbound, pending, next_correlation: Cell::new(1) }
    }

    /// Sends a request and waits for its reply.
    pub(crate) async fn request(
        &self,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, RequestFailure> {
        let correlation = self.next_correlation.replace(self.next_correlation.get() + 1);
        let (sender, receiver) = oneshot::channel();
        let _pending = PendingReply::new(self, correlation, sender);
        let timeout_ms = timeout.as_millis() as u32;
        self.push(RequestEnvelope { correlation, timeout_ms, request })?;
        match compio::time::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(RequestFailure::Disconnected),
            Err(_) => Err(RequestFailure::Timeout),
        }
    }

    /// Sends a request without waiting for its reply. Correlation number 0 marks such requests.
    pub(crate) fn notify(
        &self,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<(), RequestFailure> {
        let timeout_ms = timeout.as_millis() as u32;
        self.push(RequestEnvelope { correlation: 0, timeout_ms, request })
    }

    pub(crate) fn complete_request(&self, envelope: ReplyEnvelope) {
        if let Some(sender) = self.pending.borrow_mut().remove(&envelope.correlation) {
            // The requester may have given up in the meantime.
            let _ = sender.send(envelope.reply);
        }
    }

    /// Fails all pending requests, because the connection has ended.
    pub(crate) fn disconnect(&self) {
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        drop(pending);
    }

    fn push(&self, envelope: RequestEnvelope) -> Result<(), RequestFailure> {
        let frame = encode_frame(&DialerMessage::Request(envelope))
            .map_err(|_| RequestFailure::TooLarge)?;
        if self.outbound.push(frame) { Ok(()) } else { Err(RequestFailure::Overloaded) }
    }
}

/// Guard that removes a request from the pending ones, also when its future is dropped.
struct PendingReply<'a> {
    link: &'a PeerLink,
    correlation: u64,
}

impl<'a> PendingReply<'a> {
    fn new(link: &'a PeerLink, correlation: u64, sender: oneshot::Sender<PeerReply>) -> Self {
        link.pending.borrow_mut().insert(correlation, sender);
        Self { link, correlation }
    }
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        self.link.pending.borrow_mut().remove(&self.correlation);
    }
}
