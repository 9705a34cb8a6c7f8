use bramleywind_types::RequestKey;

use crate::{ClaimId, keeper_state::AbandonedClaim};

/// The right to send one claimed request, once.
///
/// It ends with [`crate::ClaimKeeper::finish`], [`crate::ClaimKeeper::finish_unknown`] or
/// [`crate::ClaimKeeper::close_not_run`]. A ticket that is dropped instead, for instance with the task of a
/// caller that disconnected, is recorded as `unknown` if sending had begun, and as `not_run` if not.
#[derive(Debug)]
pub struct ClaimTicket {
    key: RequestKey,
    id: ClaimId,
    has_begun: bool,
    abandoned: Option<async_channel::Sender<AbandonedClaim>>,
}

impl ClaimTicket {
    pub(crate) fn new(
        key: RequestKey,
        id: ClaimId,
        abandoned: async_channel::Sender<AbandonedClaim>,
    ) -> Self {
        Self { key, id, has_begun: false, abandoned: Some(abandoned) }
    }

    /// The key of the request.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// The claim.
    pub fn id(&self) -> ClaimId {
        self.id
    }

    /// Whether the request may be sent now: true the first time, and false ever after. To be called
    /// immediately before the first byte of the request goes to an endpoint.
    #[must_use]
    pub fn begin_send(&mut self) -> bool {
        !std::mem::replace(&mut self.has_begun, true)
    }

    /// Whether [`Self::begin_send`] was called.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Ends the ticket without recording anything, because the caller records it.
    pub(crate) fn defuse(mut self) {
        self.abandoned = None;
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if let Some(abandoned) = self.abandoned.take() {
            let claim =
                AbandonedClaim { key: self.key.clone(), id: self.id, has_begun: self.has_begun };
            // The channel is unbounded; it is closed only when the keeper is gone.
            let _ = abandoned.try_send(claim);
        }
    }
}
