use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::{Duration, Instant},
};

use bramleywind_types::EndpointId;

use crate::{CrashReport, CrashReportId, CrashVerdict, RequestFingerprint};

/// The number of crashes at which a request that was in flight is refused, not counting those after the endpoint had
/// begun to answer it.
pub const MAX_CRASHES: usize = 2;

/// The number of crashes of any kind at which a request that was in flight is refused. An endpoint that had begun to
/// answer had run the request for a while, so its crash more often has another cause.
pub const MAX_LATE_CRASHES: usize = 3;

/// How long a crash counts against a request.
pub const CRASH_RETENTION: Duration = Duration::from_secs(10 * 60);

/// The maximum number of tracked requests. When it is reached, the one that expires first is evicted. An endpoint runs
/// at most a few hundred requests at a time, so this covers the crashes of tens of endpoints.
const MAX_FINGERPRINTS: usize = 10_000;

/// Tracks the requests that were in flight on endpoints that crashed. `F` identifies copies of a request.
///
/// Requests that were in flight at crashes of the same endpoint within [`CRASH_RETENTION`] are taken to be from the
/// same crash, because routers see a crash at different times and cannot agree on a stricter rule without further
/// messages.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_claims::{RequestFingerprint, CrashTracker, CrashVerdict};
/// use bramleywind_types::BodyHash;
///
/// let now = Instant::now();
/// let mut tracker = CrashTracker::default();
/// let fingerprint = RequestFingerprint {
///     workspace: "ferries".parse().unwrap(),
///     body_hash: BodyHash::of(&[b"{}"]),
/// };
/// let engine = "engine-1".parse().unwrap();
/// let reports = tracker.record_crash(&engine, std::slice::from_ref(&fingerprint), now);
/// assert_eq!(reports.len(), 1);
/// assert_eq!(tracker.verdict(&fingerprint, now), CrashVerdict::Isolated);
/// assert!(!tracker.may_retry_on(&fingerprint, &engine, now));
/// ```
#[derive(Debug)]
pub struct CrashTracker<F = RequestFingerprint> {
    requests: BTreeMap<F, TrackedRequest>,
    /// No crash expires before this time.
    next_expiry: Option<Instant>,
}

impl<F> Default for CrashTracker<F> {
    fn default() -> Self {
        Self { requests: BTreeMap::new(), next_expiry: None }
    }
}

#[derive(Debug, Default)]
struct TrackedRequest {
    crashes: BTreeMap<CrashReportId, Crash>,
    /// The endpoints on which the request is being retried.
    retry_endpoints: BTreeSet<EndpointId>,
    /// Whether the request has been retried, or given up, since its last crash, so that it no longer waits for an
    /// endpoint.
    has_been_retried: bool,
}

#[derive(Debug)]
struct Crash {
    endpoint: EndpointId,
    deadline: Instant,
    /// Whether the endpoint had begun to answer the request.
    is_late: bool,
}

impl<F: Ord + Clone> CrashTracker<F> {
    /// Records a crash of an endpoint for each request that was in flight on it. Returns the reports, which the caller
    /// must send to the peers at once. Reports of several routers about one endpoint count as one crash.
    pub fn record_crash(
        &mut self,
        endpoint: &EndpointId,
        in_flight: &[F],
        now: Instant,
    ) -> Vec<CrashReport<F>> {
        let fingerprints: BTreeSet<_> = in_flight.iter().collect();
        let report = |fingerprint: &F| CrashReport::Strike {
            id: CrashReportId::of_endpoint(endpoint),
            fingerprint: fingerprint.clone(),
            endpoint: endpoint.clone(),
        };
        let reports: Vec<_> = fingerprints.into_iter().map(report).collect();
        for report in &reports {
            self.apply(report, now);
        }
        reports
    }

    /// Applies a report of a peer. A report that arrives twice counts once.
    pub fn apply(&mut self, report: &CrashReport<F>, now: Instant) {
        self.apply_until(report, now + CRASH_RETENTION, now);
    }

    /// Applies a report of a peer whose crash counts until `deadline`. A report that arrives twice counts once.
    pub fn apply_until(&mut self, report: &CrashReport<F>, deadline: Instant, now: Instant) {
        self.drop_expired(now);
        match report {
            CrashReport::Strike { id, fingerprint, endpoint }
            | CrashReport::LateStrike { id, fingerprint, endpoint } => {
                let is_late = matches!(report, CrashReport::LateStrike { .. });
                self.evict_if_full(fingerprint);
                let request = self.requests.entry(fingerprint.clone()).or_default();
                match request.crashes.entry(*id) {
                    Entry::Vacant(entry) => {
                        entry.insert(Crash { endpoint: endpoint.clone(), deadline, is_late });
                        let earliest =
                            self.next_expiry.map_or(deadline, |expiry| expiry.min(deadline));
                        self.next_expiry = Some(earliest);
                        request.has_been_retried = false;
                    }
                    // Another copy of the request had run there for a while.
                    Entry::Occupied(mut entry) => entry.get_mut().is_late |= is_late,
                }
            }
            CrashReport::Retry { fingerprint, endpoint } => {
                if let Some(request) = self.requests.get_mut(fingerprint) {
                    request.retry_endpoints.insert(endpoint.clone());
                    request.has_been_retried = true;
                }
            }
            CrashReport::RetryEnded { fingerprint, endpoint } => {
                if let Some(request) = self.requests.get_mut(fingerprint) {
                    request.retry_endpoints.remove(endpoint);
                    request.has_been_retried = true;
                }
            }
            CrashReport::Cleared { fingerprint } => {
                self.requests.remove(fingerprint);
            }
        }
    }

    /// No longer counts crashes whose cause is known to be something else than the requests, unless a request is refused
    /// already.
    pub fn discount_crashes(&mut self, explained: &[CrashReportId], now: Instant) {
        self.requests.retain(|_, request| {
            if !request.is_refused(now) {
                request.crashes.retain(|id, _| !explained.contains(id));
            }
            !request.crashes.is_empty()
        });
    }

    /// Returns the unexpired crashes of a request, as reports for peers that do not know of them.
    pub fn strikes(&self, fingerprint: &F, now: Instant) -> Vec<CrashReport<F>> {
        let Some(request) = self.requests.get(fingerprint) else { return Vec::new() };
        let unexpired = request.crashes.iter().filter(|(_, crash)| crash.deadline > now);
        let report = |(id, crash): (&CrashReportId, &Crash)| {
            let (id, fingerprint, endpoint) = (*id, fingerprint.clone(), crash.endpoint.clone());
            if crash.is_late {
                CrashReport::LateStrike { id, fingerprint, endpoint }
            } else {
                CrashReport::Strike { id, fingerprint, endpoint }
            }
        };
        unexpired.map(report).collect()
    }

    /// Returns the time until which a request is refused, or `None` if it is not.
    pub fn refused_until(&self, fingerprint: &F, now: Instant) -> Option<Instant> {
        let request = self.requests.get(fingerprint)?;
        if !request.is_refused(now) {
            return None;
        }
        let deadlines = request.unexpired_crashes(now).map(|crash| crash.deadline);
        deadlines.filter(|deadline| !request.is_refused(*deadline)).min()
    }

    /// Returns the requests that are refused.
    pub fn refused(&self, now: Instant) -> impl Iterator<Item = &F> {
        self.requests
            .keys()
            .filter(move |fingerprint| self.refused_until(fingerprint, now).is_some())
    }

    /// Returns whether an endpoint crashed before it had begun to answer a request.
    pub fn has_early_crash(&self, fingerprint: &F, now: Instant) -> bool {
        let request = self.requests.get(fingerprint);
        request.is_some_and(|request| request.unexpired_crashes(now).any(|crash| !crash.is_late))
    }

    /// Returns whether crashes of a request are known.
    pub fn is_tracked(&self, fingerprint: &F) -> bool {
        self.requests.contains_key(fingerprint)
    }

    /// Returns the restrictions on sending a request.
    pub fn verdict(&self, fingerprint: &F, now: Instant) -> CrashVerdict {
        match self.requests.get(fingerprint) {
            Some(request) if request.is_refused(now) => CrashVerdict::Refused,
            Some(request) if request.unexpired_crashes(now).next().is_some() => {
                CrashVerdict::Isolated
            }
            _ => CrashVerdict::Clear,
        }
    }

    /// Reports whether a request may be retried on an endpoint. It may not be if the endpoint crashed with the request
    /// in flight, or if another request from the same crash is being retried there.
    pub fn may_retry_on(&self, fingerprint: &F, endpoint: &EndpointId, now: Instant) -> bool {
        let Some(request) = self.requests.get(fingerprint) else { return true };
        let crashed_endpoints: BTreeSet<_> =
            request.unexpired_crashes(now).map(|crash| &crash.endpoint).collect();
        if crashed_endpoints.is_empty() {
            return true;
        }
        let has_same_crash = |other: &TrackedRequest| {
            other.unexpired_crashes(now).any(|crash| crashed_endpoints.contains(&crash.endpoint))
        };
        let is_taken = |(other, request): (&F, &TrackedRequest)| {
            other != fingerprint
                && request.retry_endpoints.contains(endpoint)
                && has_same_crash(request)
        };
        !crashed_endpoints.contains(endpoint) && !self.requests.iter().any(is_taken)
    }

    /// Returns the endpoint on which a request with a crash is to be retried, or `None` while it must wait for one.
    ///
    /// Routers notice a crash at about the same time and must not send two requests from it to the same endpoint. All
    /// routers rank the waiting requests and the free endpoints in the same way, so that they agree without further
    /// messages once they have received each other's reports. A request that gets no endpoint waits until a retry
    /// ends.
    pub fn assigned_endpoint(
        &self,
        fingerprint: &F,
        endpoints: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Option<EndpointId> {
        let request = self.requests.get(fingerprint)?;
        let crashed_endpoints: BTreeSet<_> =
            request.unexpired_crashes(now).map(|crash| &crash.endpoint).collect();
        let is_waiting = |other: &TrackedRequest| {
            !other.has_been_retried
                && other
                    .unexpired_crashes(now)
                    .any(|crash| crashed_endpoints.contains(&crash.endpoint))
        };
        let waiting = self.requests.iter().filter(|(_, other)| is_waiting(other));
        let rank = waiting.take_while(|(other, _)| *other < fingerprint).count();
        let is_free = |endpoint: &&EndpointId| self.may_retry_on(fingerprint, endpoint, now);
        endpoints.iter().filter(is_free).nth(rank).cloned()
    }

    /// Frees the endpoint of a retry that has ended, or the place in the ranking of a waiting request that was given
    /// up. Returns the report, which the caller must send to the peers at once, or `None` if the request has neither.
    pub fn record_retry_end(
        &mut self,
        fingerprint: &F,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Option<CrashReport<F>> {
        let request = self.requests.get(fingerprint)?;
        if request.has_been_retried && !request.retry_endpoints.contains(endpoint) {
            return None;
        }
        let (fingerprint, endpoint) = (fingerprint.clone(), endpoint.clone());
        let report = CrashReport::RetryEnded { fingerprint, endpoint };
        self.apply(&report, now);
        Some(report)
    }

    /// Reserves an endpoint for the retry of a request with a crash. Returns the report, which the caller must send to
    /// the peers at once, or `None` if the request has no crash.
    pub fn record_retry(
        &mut self,
        fingerprint: &F,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Option<CrashReport<F>> {
        if self.verdict(fingerprint, now) == CrashVerdict::Clear {
            return None;
        }
        let report =
            CrashReport::Retry { fingerprint: fingerprint.clone(), endpoint: endpoint.clone() };
        self.apply(&report, now);
        Some(report)
    }

    /// Removes expired crashes. Skips the search while none can have expired: a mass loss of endpoints brings thousands of
    /// reports at once.
    fn drop_expired(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|expiry| now < expiry) {
            return;
        }
        self.requests.retain(|_, request| {
            request.crashes.retain(|_, crash| crash.deadline > now);
            !request.crashes.is_empty()
        });
        let deadlines = self.requests.values().flat_map(|request| request.crashes.values());
        self.next_expiry = deadlines.map(|crash| crash.deadline).min();
    }

    /// Evicts the request whose last crash expires first, if there is no space for a new one.
    fn evict_if_full(&mut self, fingerprint: &F) {
        if self.requests.len() < MAX_FINGERPRINTS || self.requests.contains_key(fingerprint) {
            return;
        }
        let last_crash_expiry =
            |request: &TrackedRequest| request.crashes.values().map(|crash| crash.deadline).max();
        let oldest = self.requests.iter().min_by_key(|(_, request)| last_crash_expiry(request));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) {
            self.requests.remove(&oldest);
        }
    }
}

impl TrackedRequest {
    fn is_refused(&self, now: Instant) -> bool {
        let early = self.unexpired_crashes(now).filter(|crash| !crash.is_late).count();
        early >= MAX_CRASHES || self.unexpired_crashes(now).count() >= MAX_LATE_CRASHES
    }

    fn unexpired_crashes(&self, now: Instant) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(move |crash| crash.deadline > now)
    }
}
