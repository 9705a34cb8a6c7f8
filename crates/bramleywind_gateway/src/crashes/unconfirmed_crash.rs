use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_types::EndpointId;

use super::{CallFingerprint, RunProgress, SharedPart};
use crate::endpoints::Endpoint;

/// How long after a lost connection other evidence of the endpoint's end still counts. The registry entry of an endpoint
/// that ended goes after three missed heartbeats.
const CONFIRMATION_TIME: Duration = Duration::from_secs(8);

/// The most lost connections that are remembered.
const MAX_UNCONFIRMED: usize = 1_024;

/// A connection that was lost with a request in flight, although the address still accepts connections or is silent.
/// Something before the endpoint may hold its port, or its host may be cut off.
#[derive(Debug)]
pub struct UnconfirmedCrash {
    /// The endpoint that may have ended.
    pub endpoint: Rc<Endpoint>,
    /// The request.
    pub fingerprint: CallFingerprint,
    /// The shared parts of its prompt.
    pub shared_parts: Box<[SharedPart]>,
    /// How far the endpoint had come with it.
    pub progress: RunProgress,
    /// When the connection was lost.
    pub lost_at: Instant,
}

/// Holds lost connections until other evidence tells whether their endpoints ended.
#[derive(Debug, Default)]
pub struct UnconfirmedCrashes(VecDeque<UnconfirmedCrash>);

impl UnconfirmedCrashes {
    /// Adds a lost connection.
    pub fn insert(&mut self, crash: UnconfirmedCrash) {
        if self.0.len() >= MAX_UNCONFIRMED {
            self.0.pop_front();
        }
        self.0.push_back(crash);
    }

    /// Removes and returns the connections that were lost because this endpoint ended, given that it has. Those after
    /// which it still answered were lost for another reason.
    pub fn confirm(&mut self, endpoint: &EndpointId, now: Instant) -> Vec<UnconfirmedCrash> {
        self.0.retain(|crash| now < crash.lost_at + CONFIRMATION_TIME);
        let (confirmed, others): (VecDeque<_>, _) = std::mem::take(&mut self.0)
            .into_iter()
            .partition(|crash| crash.endpoint.record().id == *endpoint);
        self.0 = others;
        confirmed
            .into_iter()
            .filter(|crash| crash.endpoint.is_silent_since(crash.lost_at))
            .collect()
    }
}
