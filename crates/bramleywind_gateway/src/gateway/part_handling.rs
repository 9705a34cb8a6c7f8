//! What the gateway does about parts of prompts that crash endpoints.

use std::time::Instant;

use bramleywind_claims::CrashReportId;
use slog::info;

use super::Gateway;
use crate::{
    crashes::{PartNotice, PartQuarantine, PartReply, PartReport, RunProgress, SharedPart},
    members::unix_millis,
    platform_api::Platform,
};

impl<P: Platform> Gateway<P> {
    /// Records that an endpoint ended while this process waited for its answer to a request with these parts.
    pub(super) fn record_part_crash(
        &self,
        parts: &[SharedPart],
        crash: CrashReportId,
        progress: RunProgress,
        ended_at: Instant,
    ) {
        if progress == RunProgress::Established {
            return;
        }
        let now = Instant::now();
        let age = now.saturating_duration_since(ended_at).as_millis();
        let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        let report = PartReport { crash, age_ms, parts: parts.into() };
        self.part_guard.borrow_mut().record_end(report, now);
        self.spread_part_news();
    }

    /// Records that an endpoint went on answering a request with these parts after it had begun to at `begun_at`.
    pub fn record_part_proof(&self, parts: &[SharedPart], begun_at: Instant) {
        let cleared = self.part_guard.borrow_mut().record_proof(parts, begun_at, Instant::now());
        self.log_cleared_parts(&cleared, "own answer");
    }

    /// Applies a notice of another gateway about parts that crash endpoints.
    pub fn apply_part_notice(&self, notice: &PartNotice) -> PartReply {
        let (reply, refused) = self.part_guard.borrow_mut().apply_notice(notice, Instant::now());
        for part in &refused {
            self.log_refused_part(part, "another gateway");
        }
        if let PartNotice::Cleared(parts) = notice {
            self.log_cleared_parts(parts, "another gateway");
        }
        self.spread_part_news();
        reply
    }

    /// Applies the reply of another gateway to a notice about parts.
    pub fn apply_part_reply(&self, reply: &PartReply) {
        let cleared = self.part_guard.borrow_mut().apply_reply(reply, Instant::now());
        self.log_cleared_parts(&cleared, "answer at another gateway");
    }

    /// Refuses the parts that the other gateways were asked about, unless an answer speaks for them.
    pub fn decide_parts(&self) {
        let refused = self.part_guard.borrow_mut().decide(Instant::now());
        for part in &refused {
            self.log_refused_part(part, "own decision");
        }
        self.spread_part_news();
    }

    /// Applies the store's records of refused parts.
    pub fn adopt_part_quarantines(&self, records: &[PartQuarantine]) {
        for record in records {
            let is_new = self.part_guard.borrow_mut().adopt(record, unix_millis(), Instant::now());
            if is_new {
                self.log_refused_part(&record.part, "store");
            }
        }
        let refused = self.part_guard.borrow().refused(Instant::now()).count();
        self.metrics.refused_parts.set(i64::try_from(refused).unwrap_or(i64::MAX));
    }

    fn log_refused_part(&self, part: &SharedPart, source: &'static str) {
        let now = Instant::now();
        let guard = self.part_guard.borrow();
        let explained = guard.explained_crashes(part);
        let until = guard.refused_until(std::slice::from_ref(part), now);
        let left = until.map(|(_, until)| until.saturating_duration_since(now).as_secs());
        info!(self.log, "part of prompts refused from now on: it crashes endpoints"; "part" => %part,
            "source" => source, "endpoints_ended" => explained.len(), "for_seconds" => left);
        // Requests that were in flight beside the part did not end these endpoints.
        self.crash_guard.borrow_mut().discount_crashes(explained, now);
    }

    fn log_cleared_parts(&self, parts: &[SharedPart], source: &'static str) {
        for part in parts {
            info!(self.log, "part of prompts no longer refused"; "part" => %part, "source" => source);
        }
        if !parts.is_empty() {
            self.spread_part_news();
        }
    }

    /// Waits until other gateways are to be told about parts, or a part is to be judged.
    pub async fn wait_for_part_news(&self) {
        // The sender lives as long as the receiver.
        let _ = self.part_news.1.recv().await;
    }

    fn spread_part_news(&self) {
        // A full channel means that the task will wake up anyway.
        let _ = self.part_news.0.try_send(());
    }
}
