use bramleywind_types::RequestKey;

use crate::{ClaimId, keeper_state::AbandonedClaim};

/// The permission to send one claimed request, once.
///
/// A ticket is ended by [`crate::ClaimKeeper::finish`], [`crate::ClaimKeeper::finish_unknown`] or
/// [`crate::ClaimKeeper::close_not_run`]. If it is dropped instead, for example because the caller disconnected, its
/// claim is recorded as `unknown` if sending had begun, and as `not_run` otherwise.
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

    /// Returns the key of the request.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// Returns the id of the claim.
    pub fn id(&self) -> ClaimId {
        self.id
    }

    /// Reports whether the request may be sent: returns true on the first call and false on later ones. Must be called
    /// immediately before the first byte of the request is sent to an endpoint.
    #[must_use]
    pub fn begin_send(&mut self) -> bool {
        !std::mem::replace(&mut self.has_begun, true)
    }

    /// Reports whether [`Self::begin_send`] has been called.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Drops the ticket without reporting its claim as abandoned. The caller records the outcome itself.
    pub(crate) fn defuse(mut self) {
        self.abandoned = None;
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if let Some(abandoned) = self.abandoned.take() {
            let claim =
                AbandonedClaim { key: self.key.clone(), id: self.id, has_begun: self.has_begun };
            // The channel is unbounded, so sending fails only if the keeper has been dropped.
            let _ = abandoned.try_send(claim);
        }
    }
}
