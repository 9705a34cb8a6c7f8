use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bramleywind_types::EndpointId;

use crate::{RequestFingerprint, StrikeId, StrikeReport, StrikeVerdict};

/// How many crashes a request may be in flight at before it is refused.
pub const MAX_STRIKES: usize = 2;

/// How long a strike counts.
pub const STRIKE_RETENTION: Duration = Duration::from_secs(10 * 60);

/// The most fingerprints that are remembered; the one that expires first makes room. An endpoint runs at most
/// a few hundred requests at a time, so this covers the crashes of tens of endpoints.
const MAX_FINGERPRINTS: usize = 10_000;

/// Remembers which requests were in flight on endpoints that crashed.
///
/// Requests that were struck at the same endpoint within [`STRIKE_RETENTION`] count as being from the same
/// crash: routers see one crash at different moments, and cannot agree on a closer rule without another
/// message.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_claims::{RequestFingerprint, StrikeBook, StrikeVerdict};
/// use bramleywind_types::BodyHash;
///
/// let now = Instant::now();
/// let mut book = StrikeBook::default();
/// let fingerprint = RequestFingerprint {
///     workspace: "ferries".parse().unwrap(),
///     body_hash: BodyHash::of(&[b"{}"]),
/// };
/// let engine = "engine-1".parse().unwrap();
/// let reports = book.record_crash(&engine, std::slice::from_ref(&fingerprint), now);
/// assert_eq!(reports.len(), 1);
/// assert_eq!(book.verdict(&fingerprint, now), StrikeVerdict::Isolated);
/// assert!(!book.may_retry_on(&fingerprint, &engine, now));
/// ```
#[derive(Debug, Default)]
pub struct StrikeBook {
    struck: BTreeMap<RequestFingerprint, StruckRequest>,
}

#[derive(Debug, Default)]
struct StruckRequest {
    strikes: BTreeMap<StrikeId, Strike>,
    /// Where it runs again.
    retries: BTreeSet<EndpointId>,
    /// Whether it has run again since its last strike, so that it no longer waits for a turn.
    was_retried: bool,
}

#[derive(Debug)]
struct Strike {
    endpoint: EndpointId,
    deadline: Instant,
}

impl StrikeBook {
    /// Gives a strike to each request that was in flight on an endpoint that crashed. Returns the reports to
    /// send to the peers at once.
    pub fn record_crash(
        &mut self,
        endpoint: &EndpointId,
        in_flight: &[RequestFingerprint],
        now: Instant,
    ) -> Vec<StrikeReport> {
        let fingerprints: BTreeSet<_> = in_flight.iter().collect();
        let report = |fingerprint: &RequestFingerprint| StrikeReport::Strike {
            id: StrikeId(rand::random()),
            fingerprint: fingerprint.clone(),
            endpoint: endpoint.clone(),
        };
        let reports: Vec<_> = fingerprints.into_iter().map(report).collect();
        for report in &reports {
            self.apply(report, now);
        }
        reports
    }

    /// Takes over a report of a peer. One that arrives twice counts once.
    pub fn apply(&mut self, report: &StrikeReport, now: Instant) {
        self.drop_expired(now);
        match report {
            StrikeReport::Strike { id, fingerprint, endpoint } => {
                self.make_room(fingerprint);
                let strike =
                    Strike { endpoint: endpoint.clone(), deadline: now + STRIKE_RETENTION };
                let request = self.struck.entry(fingerprint.clone()).or_default();
                if request.strikes.insert(*id, strike).is_none() {
                    request.was_retried = false;
                }
            }
            StrikeReport::Retry { fingerprint, endpoint } => {
                if let Some(request) = self.struck.get_mut(fingerprint) {
                    request.retries.insert(endpoint.clone());
                    request.was_retried = true;
                }
            }
            StrikeReport::RetryEnded { fingerprint, endpoint } => {
                if let Some(request) = self.struck.get_mut(fingerprint) {
                    request.retries.remove(endpoint);
                    request.was_retried = true;
                }
            }
        }
    }

    /// How a request may be sent.
    pub fn verdict(&self, fingerprint: &RequestFingerprint, now: Instant) -> StrikeVerdict {
        match self.struck.get(fingerprint).map_or(0, |request| request.live_strikes(now).count()) {
            0 => StrikeVerdict::Clear,
            count if count < MAX_STRIKES => StrikeVerdict::Isolated,
            _ => StrikeVerdict::Refused,
        }
    }

    /// Whether a request may be retried on an endpoint: not on one that crashed under it, nor on one where
    /// another request from the same crash runs again.
    pub fn may_retry_on(
        &self,
        fingerprint: &RequestFingerprint,
        endpoint: &EndpointId,
        now: Instant,
    ) -> bool {
        let Some(request) = self.struck.get(fingerprint) else { return true };
        let crashed: BTreeSet<_> =
            request.live_strikes(now).map(|strike| &strike.endpoint).collect();
        if crashed.is_empty() {
            return true;
        }
        let shares_crash = |other: &StruckRequest| {
            other.live_strikes(now).any(|strike| crashed.contains(&strike.endpoint))
        };
        let is_taken = |(other, request): (&RequestFingerprint, &StruckRequest)| {
            other != fingerprint && request.retries.contains(endpoint) && shares_crash(request)
        };
        !crashed.contains(endpoint) && !self.struck.iter().any(is_taken)
    }

    /// The endpoint on which a struck request has its turn; nothing while it must wait for one.
    ///
    /// Routers notice a crash at the same moment and must not send two requests from it to one endpoint. All of
    /// them rank the waiting requests and the free endpoints alike, so that they agree without a further message
    /// once they have each other's strikes. Requests without an endpoint of their own wait for an end of a retry.
    pub fn next_turn(
        &self,
        fingerprint: &RequestFingerprint,
        endpoints: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Option<EndpointId> {
        let request = self.struck.get(fingerprint)?;
        let crashed: BTreeSet<_> =
            request.live_strikes(now).map(|strike| &strike.endpoint).collect();
        let is_waiting = |other: &StruckRequest| {
            !other.was_retried
                && other.live_strikes(now).any(|strike| crashed.contains(&strike.endpoint))
        };
        let waiting = self.struck.iter().filter(|(_, other)| is_waiting(other));
        let rank = waiting.take_while(|(other, _)| *other < fingerprint).count();
        let is_free = |endpoint: &&EndpointId| self.may_retry_on(fingerprint, endpoint, now);
        endpoints.iter().filter(is_free).nth(rank).cloned()
    }

    /// Frees the endpoint of a retry that ended, or the turn of a request that was given up. Returns the report
    /// to send to the peers at once, or nothing if the request holds neither.
    pub fn record_retry_end(
        &mut self,
        fingerprint: &RequestFingerprint,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Option<StrikeReport> {
        let request = self.struck.get(fingerprint)?;
        if request.was_retried && !request.retries.contains(endpoint) {
            return None;
        }
        let (fingerprint, endpoint) = (fingerprint.clone(), endpoint.clone());
        let report = StrikeReport::RetryEnded { fingerprint, endpoint };
        self.apply(&report, now);
        Some(report)
    }

    /// Reserves an endpoint for the retry of a struck request. Returns the report to send to the peers at
    /// once, or nothing if the request has no strike.
    pub fn record_retry(
        &mut self,
        fingerprint: &RequestFingerprint,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Option<StrikeReport> {
        if self.verdict(fingerprint, now) == StrikeVerdict::Clear {
            return None;
        }
        let report =
            StrikeReport::Retry { fingerprint: fingerprint.clone(), endpoint: endpoint.clone() };
        self.apply(&report, now);
        Some(report)
    }

    fn drop_expired(&mut self, now: Instant) {
        self.struck.retain(|_, request| {
            request.strikes.retain(|_, strike| strike.deadline > now);
            !request.strikes.is_empty()
        });
    }

    fn make_room(&mut self, fingerprint: &RequestFingerprint) {
        if self.struck.len() < MAX_FINGERPRINTS || self.struck.contains_key(fingerprint) {
            return;
        }
        let last_strike =
            |request: &StruckRequest| request.strikes.values().map(|strike| strike.deadline).max();
        let oldest = self.struck.iter().min_by_key(|(_, request)| last_strike(request));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) {
            self.struck.remove(&oldest);
        }
    }
}

impl StruckRequest {
    fn live_strikes(&self, now: Instant) -> impl Iterator<Item = &Strike> {
        self.strikes.values().filter(move |strike| strike.deadline > now)
    }
}
