use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use bramleywind_claims::{CRASH_RETENTION, CrashReport, CrashReportId, CrashTracker};

use super::{
    AnswerMemory, CallCrashReport, CallFingerprint, CrashEffect, CrashNotice, CrashOutbox,
    NoticeAudience, NoticeReply, QuarantineRecord, RunProgress,
};
use crate::endpoints::EndpointRecord;

/// Decides which requests are refused because they crash endpoints, and what the fleet is told about them.
///
/// Each end of an endpoint counts once for a request, however many copies were in flight and however many gateways
/// report it.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_gateway::crashes::{CallFingerprint, CrashEffect, CrashGuard, RunProgress};
/// use bramleywind_gateway::endpoints::EndpointRecord;
/// use http::{Method, Uri};
///
/// let service = "orders".parse().unwrap();
/// let endpoint = |number: u16| EndpointRecord {
///     id: format!("orders-{number}").parse().unwrap(),
///     service: "orders".parse().unwrap(),
///     address: ([127, 0, 0, 1], number).into(),
///     data_centre: "north".parse().unwrap(),
///     slots: 6,
///     is_leaving: false,
///     started_at_ms: Some(1),
/// };
/// let target = Uri::from_static("/orders/7");
/// let request = CallFingerprint::of(None, &service, &Method::GET, &target, b"");
/// let now = Instant::now();
/// let mut guard = CrashGuard::new(now);
/// let mut crash = |number| guard.record_crash(&request, &endpoint(number), RunProgress::Unanswered, now);
/// assert_eq!(crash(1), CrashEffect::Suspected);
/// assert_eq!(crash(1), CrashEffect::Suspected);
/// assert_eq!(crash(2), CrashEffect::Refused);
/// assert!(guard.refused_until(&request, now).is_some());
/// ```
#[derive(Debug)]
pub struct CrashGuard {
    tracker: CrashTracker<CallFingerprint>,
    answers: AnswerMemory,
    outbox: CrashOutbox,
    /// Refused requests that are still to be written to the store.
    unsaved: BTreeSet<CallFingerprint>,
    /// Requests that are no longer refused and still to be removed from the store.
    unremoved: BTreeSet<CallFingerprint>,
}

impl CrashGuard {
    /// Creates a guard that knows of no crashes.
    pub fn new(now: Instant) -> Self {
        Self {
            tracker: CrashTracker::default(),
            answers: AnswerMemory::new(now),
            outbox: CrashOutbox::default(),
            unsaved: BTreeSet::new(),
            unremoved: BTreeSet::new(),
        }
    }

    /// Returns the time until which a request is refused, or `None` if it is not.
    pub fn refused_until(&self, fingerprint: &CallFingerprint, now: Instant) -> Option<Instant> {
        self.tracker.refused_until(fingerprint, now)
    }

    /// Returns whether a request may be the reason why an endpoint ended.
    pub fn is_suspect(&self, fingerprint: &CallFingerprint, now: Instant) -> bool {
        self.tracker.has_early_crash(fingerprint, now)
    }

    /// Returns the refused requests, with the times until which they are.
    pub fn refused(&self, now: Instant) -> Vec<(&CallFingerprint, Instant)> {
        let with_end = |fingerprint| Some((fingerprint, self.refused_until(fingerprint, now)?));
        self.tracker.refused(now).filter_map(with_end).collect()
    }

    /// Records that an endpoint ended while this process waited for its answer to a request.
    pub fn record_crash(
        &mut self,
        fingerprint: &CallFingerprint,
        endpoint: &EndpointRecord,
        progress: RunProgress,
        now: Instant,
    ) -> CrashEffect {
        if self.answers.contains(fingerprint) {
            return CrashEffect::Harmless;
        }
        let (id, name) = (endpoint.crash_id(), endpoint.id.clone());
        let strike = match progress {
            RunProgress::Unanswered => {
                CrashReport::Strike { id, fingerprint: fingerprint.clone(), endpoint: name }
            }
            RunProgress::Begun | RunProgress::Established => {
                CrashReport::LateStrike { id, fingerprint: fingerprint.clone(), endpoint: name }
            }
        };
        let effect = self.count(&strike, now);
        match effect {
            CrashEffect::Suspected => self.outbox.tell_counters(strike),
            CrashEffect::RefusedBefore => self.outbox.tell_everyone([strike]),
            CrashEffect::Refused | CrashEffect::Harmless => {}
        }
        effect
    }

    /// Records that an endpoint answered a request. Returns whether it was a suspect until now.
    pub fn record_answer(&mut self, fingerprint: &CallFingerprint, now: Instant) -> bool {
        self.answers.insert(fingerprint, now);
        self.clear(fingerprint, now)
    }

    /// Applies a notice of another gateway, and returns the reply and the requests that are refused from now on.
    pub fn apply_notice(
        &mut self,
        notice: &CrashNotice,
        now: Instant,
    ) -> (NoticeReply, Vec<CallFingerprint>) {
        let mut reply = NoticeReply::default();
        let mut refused = Vec::new();
        for report in &notice.reports {
            let fingerprint = report.fingerprint();
            if matches!(report, CrashReport::Cleared { .. }) {
                self.answers.insert(fingerprint, now);
                self.forget(report, now);
                continue;
            }
            if self.answers.contains(fingerprint) {
                if !reply.answered.contains(fingerprint) {
                    reply.answered.push(fingerprint.clone());
                }
                continue;
            }
            let was_refused = self.refused_until(fingerprint, now).is_some();
            match notice.audience {
                NoticeAudience::Counters => {
                    self.count(report, now);
                }
                NoticeAudience::Everyone => self.tracker.apply(report, now),
            }
            if !was_refused && self.refused_until(fingerprint, now).is_some() {
                refused.push(fingerprint.clone());
            }
        }
        (reply, refused)
    }

    /// Applies the reply to a notice. Returns the requests that are no longer suspects.
    pub fn apply_reply(&mut self, reply: &NoticeReply, now: Instant) -> Vec<CallFingerprint> {
        let mut cleared = Vec::new();
        for fingerprint in &reply.answered {
            self.answers.insert(fingerprint, now);
            if self.clear(fingerprint, now) {
                cleared.push(fingerprint.clone());
            }
        }
        cleared
    }

    /// Applies a record of the store, read at `now_ms` in Unix milliseconds. Returns whether its request is refused only
    /// from now on.
    pub fn adopt(&mut self, record: &QuarantineRecord, now_ms: u64, now: Instant) -> bool {
        let left = Duration::from_millis(record.expires_at_ms.saturating_sub(now_ms));
        let is_known = self.refused_until(&record.fingerprint, now).is_some();
        if left.is_zero() || is_known || self.answers.contains(&record.fingerprint) {
            return false;
        }
        // A clock that is behind must not prolong the refusal.
        let deadline = now + left.min(CRASH_RETENTION);
        for strike in &record.strikes {
            self.tracker.apply_until(strike, deadline, now);
        }
        self.refused_until(&record.fingerprint, now).is_some()
    }

    /// Returns the record of a refused request for the store, or `None` if it is no longer refused.
    pub fn record_of(
        &self,
        fingerprint: &CallFingerprint,
        now_ms: u64,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let left = self.refused_until(fingerprint, now)?.saturating_duration_since(now);
        Some(QuarantineRecord {
            fingerprint: fingerprint.clone(),
            strikes: self.tracker.strikes(fingerprint, now),
            expires_at_ms: now_ms.saturating_add(u64::try_from(left.as_millis()).unwrap_or(0)),
        })
    }

    /// No longer counts ends of endpoints whose cause is known.
    pub fn discount_crashes(&mut self, explained: &[CrashReportId], now: Instant) {
        self.tracker.discount_crashes(explained, now);
    }

    /// Returns whether other gateways are still to be told something.
    pub fn has_news(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Removes and returns what other gateways are still to be told.
    pub fn take_outbox(&mut self) -> CrashOutbox {
        std::mem::take(&mut self.outbox)
    }

    /// Returns a refused request whose record is to be written to the store.
    pub fn next_unsaved(&self) -> Option<CallFingerprint> {
        self.unsaved.first().cloned()
    }

    /// Records that the store has the record of a request, or that none is needed any more.
    pub fn mark_saved(&mut self, fingerprint: &CallFingerprint) {
        self.unsaved.remove(fingerprint);
    }

    /// Returns a request whose record is to be removed from the store.
    pub fn next_unremoved(&self) -> Option<CallFingerprint> {
        self.unremoved.first().cloned()
    }

    /// Records that the store has no record of a request.
    pub fn mark_removed(&mut self, fingerprint: &CallFingerprint) {
        self.unremoved.remove(fingerprint);
    }

    /// Counts a crash. If the request is refused for the first time, all gateways and the store are to be told.
    fn count(&mut self, strike: &CallCrashReport, now: Instant) -> CrashEffect {
        let fingerprint = strike.fingerprint();
        let was_refused = self.refused_until(fingerprint, now).is_some();
        self.tracker.apply(strike, now);
        match (was_refused, self.refused_until(fingerprint, now).is_some()) {
            (true, _) => CrashEffect::RefusedBefore,
            (false, false) => CrashEffect::Suspected,
            (false, true) => {
                self.outbox.tell_everyone(self.tracker.strikes(fingerprint, now));
                self.unsaved.insert(fingerprint.clone());
                CrashEffect::Refused
            }
        }
    }

    /// Ends the suspicion of a request, and tells those who may share it. Returns whether it was a suspect.
    fn clear(&mut self, fingerprint: &CallFingerprint, now: Instant) -> bool {
        if !self.tracker.is_tracked(fingerprint) {
            return false;
        }
        let report = CrashReport::Cleared { fingerprint: fingerprint.clone() };
        if self.refused_until(fingerprint, now).is_some() {
            self.outbox.tell_everyone([report.clone()]);
            self.unremoved.insert(fingerprint.clone());
        } else {
            self.outbox.tell_counters(report.clone());
        }
        self.forget(&report, now);
        true
    }

    /// Applies a report that clears a request.
    fn forget(&mut self, report: &CallCrashReport, now: Instant) {
        self.tracker.apply(report, now);
        self.unsaved.remove(report.fingerprint());
    }
}
