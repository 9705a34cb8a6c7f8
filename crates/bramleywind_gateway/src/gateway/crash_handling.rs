//! What the gateway does about requests that crash endpoints.

use std::{cmp::Reverse, rc::Rc, time::Instant};

use bramleywind_claims::CrashReport;
use bramleywind_types::EndpointId;
use slog::info;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Gateway;
use crate::{
    crashes::{
        CallCrashReport, CallFingerprint, CrashEffect, CrashNotice, NoticeReply, QuarantineRecord,
        RunProgress, SharedPart, UnconfirmedCrash,
    },
    endpoints::Endpoint,
    forward::{Refusal, RefusalReason},
    members::unix_millis,
    platform_api::Platform,
};

impl<P: Platform> Gateway<P> {
    /// Returns the refusal of a request that crashes endpoints, or whose prompt has a part that does.
    pub fn crash_refusal(
        &self,
        fingerprint: &CallFingerprint,
        parts: &[SharedPart],
    ) -> Option<Refusal> {
        let now = Instant::now();
        if let Some(until) = self.crash_guard.borrow().refused_until(fingerprint, now) {
            return Some(Refusal::crashing(RefusalReason::CrashesEndpoints, until));
        }
        let (_, until) = self.part_guard.borrow().refused_until(parts, now)?;
        Some(Refusal::crashing(RefusalReason::PartCrashesEndpoints, until))
    }

    /// Records that an endpoint ended while this process waited for its answer to a request.
    pub fn record_crash(
        &self,
        fingerprint: &CallFingerprint,
        shared_parts: &[SharedPart],
        endpoint: &Endpoint,
        progress: RunProgress,
        ended_at: Instant,
    ) {
        let effect = {
            let mut guard = self.crash_guard.borrow_mut();
            guard.record_crash(fingerprint, &endpoint.record(), progress, Instant::now())
        };
        let crash = endpoint.record().crash_id();
        self.record_part_crash(shared_parts, crash, progress, ended_at);
        info!(self.log, "endpoint ended with a request in flight"; "fingerprint" => %fingerprint,
            "endpoint" => %endpoint.record().id, "progress" => ?progress, "effect" => ?effect);
        endpoint.health().borrow_mut().record_ended(Instant::now());
        self.metrics.record_crash(effect);
        if effect == CrashEffect::Refused {
            self.log_refused(fingerprint, "own crashes");
        }
        self.spread_crash_news();
    }

    /// Records that a connection was lost although it is unknown whether its endpoint ended.
    pub fn record_unconfirmed_crash(&self, crash: UnconfirmedCrash) {
        self.unconfirmed_crashes.borrow_mut().insert(crash);
    }

    /// Records that an endpoint is known to have ended, by the evidence of its registry entry or of another instance at
    /// its address.
    pub fn confirm_crashes(&self, endpoint: &EndpointId) {
        let confirmed = self.unconfirmed_crashes.borrow_mut().confirm(endpoint, Instant::now());
        for crash in confirmed {
            let UnconfirmedCrash { endpoint, fingerprint, shared_parts, progress, lost_at } = crash;
            self.record_crash(&fingerprint, &shared_parts, &endpoint, progress, lost_at);
        }
    }

    /// Records that an endpoint answered a request.
    pub fn record_answer(&self, fingerprint: &CallFingerprint) {
        let was_suspect = self.crash_guard.borrow_mut().record_answer(fingerprint, Instant::now());
        if was_suspect {
            info!(self.log, "request cleared: an endpoint answered it"; "fingerprint" => %fingerprint);
            self.spread_crash_news();
        }
    }

    /// Applies a notice of another gateway about requests that crash endpoints.
    pub fn apply_crash_notice(&self, notice: &CrashNotice) -> NoticeReply {
        let (reply, refused) = self.crash_guard.borrow_mut().apply_notice(notice, Instant::now());
        for fingerprint in &refused {
            self.log_refused(fingerprint, "another gateway");
        }
        self.avoid_ended_endpoints(&notice.reports);
        self.spread_crash_news();
        reply
    }

    /// Avoids the endpoints that ended according to other gateways, until the registry shows it.
    fn avoid_ended_endpoints(&self, reports: &[CallCrashReport]) {
        let endpoints = self.endpoints.borrow();
        for report in reports {
            let (CrashReport::Strike { id, endpoint, .. }
            | CrashReport::LateStrike { id, endpoint, .. }) = report
            else {
                continue;
            };
            let known = endpoints.get(endpoint);
            if let Some(known) = known.filter(|known| known.record().crash_id() == *id) {
                known.health().borrow_mut().record_ended(Instant::now());
            }
        }
    }

    /// Applies the reply of another gateway to a notice.
    pub fn apply_notice_reply(&self, reply: &NoticeReply) {
        let cleared = self.crash_guard.borrow_mut().apply_reply(reply, Instant::now());
        for fingerprint in &cleared {
            info!(self.log, "request cleared: another gateway saw it answered"; "fingerprint" => %fingerprint);
        }
        self.spread_crash_news();
    }

    /// Applies the store's records of refused requests.
    pub fn adopt_quarantines(&self, records: &[QuarantineRecord]) {
        for record in records {
            let is_new = self.crash_guard.borrow_mut().adopt(record, unix_millis(), Instant::now());
            if is_new {
                self.log_refused(&record.fingerprint, "store");
            }
        }
        let refused = self.crash_guard.borrow().refused(Instant::now()).len();
        self.metrics.refused_fingerprints.set(i64::try_from(refused).unwrap_or(i64::MAX));
    }

    fn log_refused(&self, fingerprint: &CallFingerprint, source: &'static str) {
        let now = Instant::now();
        let until = self.crash_guard.borrow().refused_until(fingerprint, now);
        let left = until.map(|until| until.saturating_duration_since(now).as_secs());
        info!(self.log, "request refused from now on: it crashes endpoints"; "fingerprint" => %fingerprint,
            "source" => source, "for_seconds" => left);
    }

    /// Waits until other gateways are to be told about crashes.
    pub async fn wait_for_crash_news(&self) {
        // The sender lives as long as the receiver.
        let _ = self.crash_news.1.recv().await;
    }

    fn spread_crash_news(&self) {
        if self.crash_guard.borrow().has_news() {
            // A full channel means that the task will wake up anyway.
            let _ = self.crash_news.0.try_send(());
        }
    }
}

/// Chooses the endpoint for a request that may crash it. All copies, at all gateways, go to the same one of those that
/// have not failed lately, so that copies that arrive at the same moment do not end several.
pub(super) fn choose_for_suspect(
    seed: u64,
    endpoints: &[&Rc<Endpoint>],
    now: Instant,
) -> Option<Rc<Endpoint>> {
    let rank = |endpoint: &&&Rc<Endpoint>| {
        let score = xxh3_64_with_seed(endpoint.record().id.as_str().as_bytes(), seed);
        // Permits for an endpoint that limits its requests would scatter the copies.
        let is_limited = endpoint.rate_limit().borrow().rate().is_some();
        (endpoint.health().borrow().is_avoided(now), is_limited, Reverse(score))
    };
    endpoints.iter().min_by_key(rank).map(|endpoint| Rc::clone(endpoint))
}
