use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use bramleywind_claims::{CRASH_RETENTION, CrashReportId};

use super::{
    PartNotice, PartOutbox, PartProof, PartQuarantine, PartRefusal, PartReply, PartReport,
    ProofMemory, SharedPart, endpoint_end::EndpointEnd,
};

/// The number of ends of endpoints at which requests with a part are refused.
pub const MAX_PART_CRASHES: usize = 3;

/// The same for a part of a request that was answered within [`RECENT_PROOF_TIME`] before the first of these ends.
pub const MAX_PROVEN_PART_CRASHES: usize = 5;

/// How long before the end of an endpoint an answer still speaks for a part. A release or a new adapter may have made it
/// harmful since.
pub const RECENT_PROOF_TIME: Duration = Duration::from_secs(30);

/// The time from the first end until a part is judged, in which an answer elsewhere may clear it. Most answers are
/// established within it.
pub const ASSESSMENT_TIME: Duration = Duration::from_millis(300);

/// The same for a part of a request that was answered shortly before. When many endpoints are lost at once, popular parts
/// are at many ends at the same moment.
pub const PROVEN_ASSESSMENT_TIME: Duration = Duration::from_secs(1);

/// The most ends that are remembered.
const MAX_ENDS: usize = 256;

/// The most parts that are refused. It limits what false notices can do.
const MAX_REFUSED: usize = 256;

/// How long after a refusal one more end is enough to refuse the part again.
const PROBATION_TIME: Duration = CRASH_RETENTION;

/// Decides which parts of prompts are refused because they crash endpoints.
///
/// A part is a suspect if requests with it were in flight, and not yet answered for long, at the ends of several
/// endpoints. Each end counts once, and only for parts of which no request was answered since. When a part is refused,
/// the ends that it explains no longer count for the other parts that were in flight.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_claims::CrashReportId;
/// use bramleywind_gateway::{
///     crashes::{ASSESSMENT_TIME, PartGuard, PartReport, SharedPart},
///     platform_api::PartId,
/// };
///
/// let part = SharedPart { service: "scribe".parse().unwrap(), id: PartId(7) };
/// let now = Instant::now();
/// let mut guard = PartGuard::new(now);
/// for end in 1..=3 {
///     let report = PartReport { crash: CrashReportId(end), age_ms: 0, parts: [part.clone()].into() };
///     guard.record_end(report, now);
/// }
/// let later = now + ASSESSMENT_TIME;
/// assert_eq!(guard.take_questions(later), [part.clone()]);
/// assert_eq!(guard.decide(later), [part.clone()]);
/// assert!(guard.refused_until(&[part], later).is_some());
/// ```
#[derive(Debug)]
pub struct PartGuard {
    /// The last ends, the newest at the back.
    ends: VecDeque<EndpointEnd>,
    /// The number of these ends at which each part was in flight.
    end_counts: HashMap<SharedPart, usize>,
    refused: BTreeMap<SharedPart, RefusedPart>,
    proofs: ProofMemory,
    /// The number of ends of a part when the other gateways were last asked about it.
    asked: BTreeMap<SharedPart, usize>,
    outbox: PartOutbox,
    /// Refused parts that are still to be written to the store.
    unsaved: BTreeSet<SharedPart>,
    /// Parts that are no longer refused and still to be removed from the store.
    unremoved: BTreeSet<SharedPart>,
}

#[derive(Debug)]
struct RefusedPart {
    until: Instant,
    first_crash_at: Instant,
    crashes: Vec<CrashReportId>,
}

/// The ends that count against a part.
#[derive(Debug, Default)]
struct Charge {
    crashes: Vec<CrashReportId>,
    first_at: Option<Instant>,
    /// When the part is judged.
    judged_at: Option<Instant>,
    position: usize,
}

impl PartGuard {
    /// Creates a guard that knows of no ends.
    pub fn new(now: Instant) -> Self {
        Self {
            ends: VecDeque::new(),
            end_counts: HashMap::new(),
            refused: BTreeMap::new(),
            proofs: ProofMemory::new(now),
            asked: BTreeMap::new(),
            outbox: PartOutbox::default(),
            unsaved: BTreeSet::new(),
            unremoved: BTreeSet::new(),
        }
    }

    /// Returns the first of the parts that is refused, and until when; `None` if none is.
    pub fn refused_until<'a>(
        &self,
        parts: &'a [SharedPart],
        now: Instant,
    ) -> Option<(&'a SharedPart, Instant)> {
        if self.refused.is_empty() {
            return None;
        }
        let until = |part: &'a SharedPart| Some((part, self.refused.get(part)?.until));
        parts.iter().filter_map(until).find(|(_, until)| now < *until)
    }

    /// Returns the refused parts, with the times until which they are.
    pub fn refused(&self, now: Instant) -> impl Iterator<Item = (&SharedPart, Instant)> {
        let with_end = |(part, refused): (_, &RefusedPart)| (part, refused.until);
        self.refused.iter().map(with_end).filter(move |(_, until)| now < *until)
    }

    /// Returns the last of the parts that may be the reason why an endpoint ended.
    pub fn suspect<'a>(&self, parts: &'a [SharedPart], now: Instant) -> Option<&'a SharedPart> {
        if self.ends.is_empty() {
            return None;
        }
        let is_suspect = |part: &&SharedPart| {
            if !self.end_counts.contains_key(*part) {
                return false;
            }
            let charge = self.charge(part, now);
            let needed = if self.is_proven_before(part, &charge) { 2 } else { 1 };
            charge.crashes.len() >= needed
        };
        parts.iter().rev().find(is_suspect)
    }

    /// Records that an endpoint ended before it had answered a request of this process for long.
    pub fn record_end(&mut self, report: PartReport, now: Instant) {
        if report.parts.is_empty() {
            return;
        }
        self.insert_end(&report, now);
        self.outbox.report_end(report);
    }

    /// Records that an endpoint went on answering a request after it had begun to at `begun_at`. Returns the parts that
    /// are no longer refused.
    pub fn record_proof(
        &mut self,
        parts: &[SharedPart],
        begun_at: Instant,
        now: Instant,
    ) -> Vec<SharedPart> {
        let mut cleared = Vec::new();
        for part in parts {
            self.proofs.insert(part, begun_at, now);
            let is_contradicted =
                self.refused.get(part).is_some_and(|refused| refused.first_crash_at < begun_at);
            if is_contradicted {
                self.forget(part);
                self.unremoved.insert(part.clone());
                self.outbox.cleared.push(part.clone());
                cleared.push(part.clone());
            }
        }
        cleared
    }

    /// Applies a notice of another gateway. Returns the reply, and the parts that are refused from now on.
    pub fn apply_notice(
        &mut self,
        notice: &PartNotice,
        now: Instant,
    ) -> (PartReply, Vec<SharedPart>) {
        let (mut reply, mut added) = (PartReply::default(), Vec::new());
        match notice {
            PartNotice::Ends(reports) => {
                for report in reports {
                    self.insert_end(report, now);
                }
            }
            PartNotice::Question(parts) => {
                reply.proofs = parts.iter().filter_map(|part| self.proof(part, now)).collect();
            }
            PartNotice::Refused(refusals) => {
                for refusal in refusals {
                    let first_crash_at =
                        now.checked_sub(Duration::from_millis(refusal.first_crash_age_ms));
                    let last_proof = self.proofs.last(&refusal.part);
                    if last_proof > first_crash_at {
                        reply.proofs.extend(self.proof(&refusal.part, now));
                        continue;
                    }
                    let left = Duration::from_millis(refusal.duration_ms).min(CRASH_RETENTION);
                    let refused = RefusedPart {
                        until: now + left,
                        first_crash_at: first_crash_at.unwrap_or(now),
                        crashes: refusal.crashes.clone(),
                    };
                    if self.refuse(&refusal.part, refused, now) {
                        added.push(refusal.part.clone());
                    }
                }
            }
            PartNotice::Cleared(parts) => {
                for part in parts {
                    self.proofs.insert(part, now, now);
                    self.forget(part);
                }
            }
        }
        (reply, added)
    }

    /// Applies the reply of another gateway. Returns the parts that are no longer refused.
    pub fn apply_reply(&mut self, reply: &PartReply, now: Instant) -> Vec<SharedPart> {
        let mut cleared = Vec::new();
        for proof in &reply.proofs {
            if let Some(at) = now.checked_sub(Duration::from_millis(proof.age_ms)) {
                cleared.extend(self.record_proof(std::slice::from_ref(&proof.part), at, now));
            }
        }
        cleared
    }

    /// Returns when the next part is to be judged, or `None` if none is suspected of enough ends.
    pub fn next_decision(&self, now: Instant) -> Option<Instant> {
        let candidates = self.candidates(now);
        let open = candidates
            .iter()
            .filter(|(part, charge)| self.asked.get(*part) != Some(&charge.crashes.len()));
        open.filter_map(|(_, charge)| charge.judged_at).min()
    }

    /// Returns the parts that are to be judged now, about which the other gateways are asked first.
    pub fn take_questions(&mut self, now: Instant) -> Vec<SharedPart> {
        let due: Vec<_> = self
            .candidates(now)
            .into_iter()
            .filter(|(part, charge)| {
                charge.is_due(now) && self.asked.get(*part) != Some(&charge.crashes.len())
            })
            .map(|(part, charge)| (part.clone(), charge.crashes.len()))
            .collect();
        self.asked.extend(due.iter().cloned());
        due.into_iter().map(|(part, _)| part).collect()
    }

    /// Decides which of the parts that the other gateways were asked about are refused from now on, and returns these.
    pub fn decide(&mut self, now: Instant) -> Vec<SharedPart> {
        let mut refused = Vec::new();
        loop {
            // Of two parts at the same ends, the later one in the prompts is in fewer requests.
            let candidates = self.candidates(now);
            let due = candidates
                .iter()
                .filter(|(part, charge)| charge.is_due(now) && self.asked.contains_key(**part));
            let worst = due.max_by_key(|(part, charge)| {
                (charge.crashes.len(), charge.position, Reverse(**part))
            });
            let Some((part, charge)) = worst else { break };
            let (part, crashes) = ((*part).clone(), charge.crashes.clone());
            let first_crash_at = charge.first_at.unwrap_or(now);
            let until = now + CRASH_RETENTION;
            let is_added = self.refuse(&part, RefusedPart { until, first_crash_at, crashes }, now);
            if !is_added {
                break;
            }
            self.asked.remove(&part);
            self.outbox.refused.extend(self.refusal(&part, now));
            self.unsaved.insert(part.clone());
            refused.push(part);
        }
        refused
    }

    /// Returns the ends of endpoints that a refused part explains.
    pub fn explained_crashes(&self, part: &SharedPart) -> &[CrashReportId] {
        self.refused.get(part).map_or(&[], |refused| &refused.crashes)
    }

    /// Removes and returns what other gateways are still to be told.
    pub fn take_outbox(&mut self) -> PartOutbox {
        std::mem::take(&mut self.outbox)
    }

    /// Returns a refused part whose record is to be written to the store, and the record; `None` as record if none is
    /// needed any more.
    pub fn next_unsaved(
        &self,
        now_ms: u64,
        now: Instant,
    ) -> Option<(SharedPart, Option<PartQuarantine>)> {
        let part = self.unsaved.first()?.clone();
        let record = self.refused.get(&part).map(|refused| PartQuarantine {
            part: part.clone(),
            crashes: refused.crashes.clone(),
            first_crash_at_ms: now_ms
                .saturating_sub(millis(now.saturating_duration_since(refused.first_crash_at))),
            expires_at_ms: now_ms
                .saturating_add(millis(refused.until.saturating_duration_since(now))),
        });
        Some((part, record))
    }

    /// Records that the store has the record of a part, or that none is needed any more.
    pub fn mark_saved(&mut self, part: &SharedPart) {
        self.unsaved.remove(part);
    }

    /// Returns a part whose record is to be removed from the store.
    pub fn next_unremoved(&self) -> Option<SharedPart> {
        self.unremoved.first().cloned()
    }

    /// Records that the store has no record of a part.
    pub fn mark_removed(&mut self, part: &SharedPart) {
        self.unremoved.remove(part);
    }

    /// Applies a record of the store, read at `now_ms` in Unix milliseconds. Returns whether its part is refused only
    /// from now on.
    pub fn adopt(&mut self, record: &PartQuarantine, now_ms: u64, now: Instant) -> bool {
        let left = Duration::from_millis(record.expires_at_ms.saturating_sub(now_ms));
        let age = Duration::from_millis(now_ms.saturating_sub(record.first_crash_at_ms));
        let first_crash_at = now.checked_sub(age);
        // A record whose removal is under way, and one that an answer since contradicts, hold no more.
        let is_answered = self.proofs.last(&record.part) > first_crash_at;
        if left.is_zero() || is_answered || self.unremoved.contains(&record.part) {
            return false;
        }
        // A clock that is behind must not prolong the refusal.
        let until = now + left.min(CRASH_RETENTION);
        let refused = RefusedPart {
            until,
            first_crash_at: first_crash_at.unwrap_or(now),
            crashes: record.crashes.clone(),
        };
        self.refuse(&record.part, refused, now)
    }

    /// Refuses a part. Returns whether it was not refused before.
    fn refuse(&mut self, part: &SharedPart, refused: RefusedPart, now: Instant) -> bool {
        self.refused.retain(|_, refused| now < refused.until + PROBATION_TIME);
        let is_known = self.refused.get(part).is_some_and(|known| now < known.until);
        if is_known || (self.refused.len() >= MAX_REFUSED && !self.refused.contains_key(part)) {
            return false;
        }
        self.refused.insert(part.clone(), refused);
        for end in &mut self.ends {
            end.add_cause(part);
        }
        true
    }

    fn forget(&mut self, part: &SharedPart) {
        self.refused.remove(part);
        self.asked.remove(part);
        self.unsaved.remove(part);
        for end in &mut self.ends {
            end.causes.retain(|cause| cause != part);
        }
    }

    fn refusal(&self, part: &SharedPart, now: Instant) -> Option<PartRefusal> {
        let refused = self.refused.get(part)?;
        Some(PartRefusal {
            part: part.clone(),
            crashes: refused.crashes.clone(),
            first_crash_age_ms: millis(now.saturating_duration_since(refused.first_crash_at)),
            duration_ms: millis(refused.until.saturating_duration_since(now)),
        })
    }

    fn proof(&self, part: &SharedPart, now: Instant) -> Option<PartProof> {
        let at = self.proofs.last(part)?;
        let age_ms = millis(now.saturating_duration_since(at));
        Some(PartProof { part: part.clone(), age_ms })
    }

    fn insert_end(&mut self, report: &PartReport, now: Instant) {
        let is_known = self.ends.iter().any(|end| end.id == report.crash);
        if !is_known {
            while self.ends.front().is_some_and(|end| end.at + CRASH_RETENTION <= now)
                || self.ends.len() >= MAX_ENDS
            {
                self.drop_oldest_end();
            }
            let age = Duration::from_millis(report.age_ms);
            let ended_at = now.checked_sub(age).unwrap_or(now);
            self.ends.push_back(EndpointEnd::new(report.crash, ended_at));
        }
        let end = self.ends.iter_mut().rev().find(|end| end.id == report.crash);
        let Some(end) = end else { return };
        for part in end.insert(&report.parts) {
            *self.end_counts.entry(part.clone()).or_default() += 1;
            if self.refused.contains_key(part) {
                end.add_cause(part);
            }
        }
    }

    fn drop_oldest_end(&mut self) {
        let Some(end) = self.ends.pop_front() else { return };
        for part in end.parts.keys() {
            if let Some(count) = self.end_counts.get_mut(part) {
                *count -= 1;
                if *count == 0 {
                    self.end_counts.remove(part);
                }
            }
        }
    }

    /// Returns the ends that count against a part.
    fn charge(&self, part: &SharedPart, now: Instant) -> Charge {
        let mut charge = Charge::default();
        for end in &self.ends {
            if let Some(position) = end.parts.get(part)
                && self.counts_against(part, end, now)
            {
                charge.add(end, *position);
            }
        }
        charge
    }

    /// Returns the parts with enough ends to be refused.
    fn candidates(&self, now: Instant) -> BTreeMap<&SharedPart, Charge> {
        let may_be_refused = |(part, count): &(&SharedPart, &usize)| {
            **count >= MAX_PART_CRASHES || self.refused.contains_key(*part)
        };
        let charge = |(part, _)| {
            let mut charge = self.charge(part, now);
            let (threshold, assessment) = self.requirements(part, &charge, now);
            charge.judged_at = charge.first_at.map(|first| first + assessment);
            (charge.crashes.len() >= threshold).then_some((part, charge))
        };
        self.end_counts.iter().filter(may_be_refused).filter_map(charge).collect()
    }

    fn counts_against(&self, part: &SharedPart, end: &EndpointEnd, now: Instant) -> bool {
        let is_unproven = self.proofs.last(part).is_none_or(|proof| proof < end.at);
        let is_current = now < end.at + CRASH_RETENTION;
        is_current && is_unproven && !self.is_explained(part, end)
    }

    /// Returns whether an end has a known cause: it led to a refusal already, or a refused part was in flight.
    fn is_explained(&self, part: &SharedPart, end: &EndpointEnd) -> bool {
        let was_counted =
            self.refused.get(part).is_some_and(|refused| refused.crashes.contains(&end.id));
        was_counted || end.causes.iter().any(|cause| cause != part)
    }

    /// Returns the number of ends at which a part is refused, and the time from the first one until it is judged.
    fn requirements(&self, part: &SharedPart, charge: &Charge, now: Instant) -> (usize, Duration) {
        match self.refused.get(part) {
            Some(refused) if now < refused.until => (usize::MAX, ASSESSMENT_TIME),
            Some(_) => (1, ASSESSMENT_TIME),
            None if self.is_proven_before(part, charge) => {
                (MAX_PROVEN_PART_CRASHES, PROVEN_ASSESSMENT_TIME)
            }
            None => (MAX_PART_CRASHES, ASSESSMENT_TIME),
        }
    }

    /// Returns whether a request with the part was answered shortly before the first end that counts against it.
    fn is_proven_before(&self, part: &SharedPart, charge: &Charge) -> bool {
        let proof = self.proofs.last(part);
        let since = charge.first_at.zip(proof).map(|(first, proof)| first - proof);
        since.is_some_and(|since| since < RECENT_PROOF_TIME)
    }
}

impl Charge {
    fn add(&mut self, end: &EndpointEnd, position: usize) {
        self.crashes.push(end.id);
        self.first_at.get_or_insert(end.at);
        self.position = position;
    }

    fn is_due(&self, now: Instant) -> bool {
        self.judged_at.is_some_and(|at| now >= at)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
