//! Tests which parts of prompts are refused because they crash endpoints, and what the fleet is told about them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_claims::{CRASH_RETENTION, CrashReportId};
use bramleywind_gateway::{
    crashes::{
        ASSESSMENT_TIME, MAX_PART_CRASHES, PROVEN_ASSESSMENT_TIME, PartGuard, PartNotice,
        PartRefusal, PartReport, SharedPart,
    },
    platform_api::PartId,
};
use test_case::test_case;

const NOW_MS: u64 = 1_780_000_000_000;

/// The time between two ends of endpoints.
const END_INTERVAL: Duration = Duration::from_millis(200);

fn part(id: u64) -> SharedPart {
    SharedPart { service: "scribe".parse().unwrap(), id: PartId(id) }
}

/// Records an end of an endpoint that had not yet answered requests with these shared parts.
fn end(guard: &mut PartGuard, crash: u64, requests: &[&[u64]], at: Instant) {
    for parts in requests {
        let parts = parts.iter().map(|id| part(*id)).collect();
        guard.record_end(PartReport { crash: CrashReportId(crash), age_ms: 0, parts }, at);
    }
}

/// Judges the parts at `now`, with no other gateway to ask.
fn judge(guard: &mut PartGuard, now: Instant) -> Vec<SharedPart> {
    guard.take_questions(now);
    guard.decide(now)
}

/// Records ends at which requests with parts 1 and 2 were in flight, and returns the time of the last one.
fn end_repeatedly(guard: &mut PartGuard, count: usize, from: Instant) -> Instant {
    let mut at = from;
    for crash in 0..u64::try_from(count).unwrap() {
        at += END_INTERVAL;
        end(guard, crash, &[&[1, 2], &[3, 4]], at);
        // Requests with the other parts are answered.
        for answered in [1, 3, 4] {
            let begun = at + END_INTERVAL / 2;
            guard.record_proof(&[part(answered)], begun, begun);
        }
    }
    at
}

/// Guards against refusing the parts of sound requests that were in flight beside the crashing one.
#[test]
fn only_the_part_without_answers_is_refused() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    let before = end_repeatedly(&mut guard, MAX_PART_CRASHES - 1, now);
    assert_eq!(judge(&mut guard, before + ASSESSMENT_TIME), []);
    end(&mut guard, 9, &[&[1, 2]], before + END_INTERVAL);
    let later = before + ASSESSMENT_TIME;
    assert_eq!(judge(&mut guard, later), [part(2)]);
    assert_eq!(guard.refused_until(&[part(1), part(3)], later), None);
    assert!(guard.refused_until(&[part(1), part(2)], later).is_some());
}

/// Guards against refusing a whole caller because all its requests in flight shared their first part with the crashing
/// one.
#[test]
fn ends_are_explained_by_the_narrowest_part() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    for crash in 0..3 {
        end(&mut guard, crash, &[&[1, 2], &[1, 10 + crash]], now + END_INTERVAL * 2);
    }
    let later = now + END_INTERVAL * 2 + ASSESSMENT_TIME;
    assert_eq!(judge(&mut guard, later), [part(2)]);
    assert_eq!(guard.refused_until(&[part(1)], later), None);
}

/// Guards against a first part that crashes endpoints whatever follows it.
#[test]
fn part_with_the_most_ends_is_refused() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    for crash in 0..3 {
        end(&mut guard, crash, &[&[1, 10 + crash]], now);
    }
    assert_eq!(judge(&mut guard, now + ASSESSMENT_TIME), [part(1)]);
}

/// Guards against an answer of some time ago clearing a part that a release has made harmful since.
#[test_case(60, 3, true; "answered a minute ago")]
#[test_case(25, 3, false; "answered lately, three ends")]
#[test_case(25, 5, true; "answered lately, five ends")]
fn earlier_answer_only_weighs(seconds_before: u64, ends: u64, is_refused: bool) {
    let answered_at = Instant::now();
    let mut guard = PartGuard::new(answered_at);
    guard.record_proof(&[part(2)], answered_at, answered_at);
    let now = answered_at + Duration::from_secs(seconds_before);
    for crash in 0..ends {
        end(&mut guard, crash, &[&[2]], now);
    }
    let refused = judge(&mut guard, now + PROVEN_ASSESSMENT_TIME);
    assert_eq!(!refused.is_empty(), is_refused);
}

/// Guards against refusing popular parts when many endpoints are lost at the same moment.
#[test]
fn mass_loss_refuses_no_part_that_is_answered_elsewhere() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    guard.record_proof(&[part(1)], now, now);
    let lost_at = now + Duration::from_millis(10);
    for crash in 0..40 {
        end(&mut guard, crash, &[&[1]], lost_at);
    }
    let decided_at = guard.next_decision(lost_at).unwrap();
    let answered_at = lost_at + Duration::from_millis(900);
    assert!(decided_at > answered_at);
    guard.record_proof(&[part(1)], answered_at, answered_at);
    assert_eq!(judge(&mut guard, decided_at), []);
}

/// Guards against a request that was answered before an end, and only then established, clearing the part.
#[test]
fn answer_begun_before_an_end_does_not_clear_it() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    let last = end_repeatedly(&mut guard, MAX_PART_CRASHES, now);
    guard.record_proof(&[part(2)], now, last);
    let later = last + PROVEN_ASSESSMENT_TIME;
    end(&mut guard, 8, &[&[2]], later);
    end(&mut guard, 9, &[&[2]], later);
    assert_eq!(judge(&mut guard, later), [part(2)]);
}

/// Guards against refusing a part that another gateway has seen answered.
#[test]
fn answer_at_another_gateway_speaks_for_a_part() {
    let now = Instant::now();
    let (mut guard, mut other) = (PartGuard::new(now), PartGuard::new(now));
    let last = end_repeatedly(&mut guard, MAX_PART_CRASHES, now);
    other.record_proof(&[part(2)], last, last);
    let later = last + ASSESSMENT_TIME;
    let question = PartNotice::Question(guard.take_questions(later));
    assert_eq!(question, PartNotice::Question([part(2)].into()));
    let (reply, _) = other.apply_notice(&question, later);
    guard.apply_reply(&reply, later);
    assert_eq!(guard.decide(later), []);
}

/// Guards against gateways that do not learn of a refusal, and against a refusal that no answer ends.
#[test]
fn refusal_and_its_end_reach_the_other_gateways() {
    let now = Instant::now();
    let (mut guard, mut other) = (PartGuard::new(now), PartGuard::new(now));
    let last = end_repeatedly(&mut guard, MAX_PART_CRASHES, now);
    let later = last + ASSESSMENT_TIME;
    judge(&mut guard, later);
    let notice = PartNotice::Refused(guard.take_outbox().refused);
    assert_eq!(other.apply_notice(&notice, later).1, [part(2)]);
    // A request that was under way at the other gateway is answered.
    let answered_at = later + END_INTERVAL;
    assert_eq!(other.record_proof(&[part(2)], answered_at, answered_at), [part(2)]);
    assert_eq!(other.next_unremoved(), Some(part(2)));
    let notice = PartNotice::Cleared(other.take_outbox().cleared);
    guard.apply_notice(&notice, answered_at);
    assert_eq!(guard.refused_until(&[part(2)], answered_at), None);
    assert_eq!(judge(&mut guard, answered_at + ASSESSMENT_TIME), []);
}

/// Guards against a false notice that has requests refused which endpoints answer.
#[test]
fn refusal_that_an_answer_contradicts_is_not_believed() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    guard.record_proof(&[part(2)], now, now);
    let refusal = PartRefusal {
        part: part(2),
        crashes: vec![CrashReportId(1)],
        first_crash_age_ms: 2_000,
        duration_ms: u64::MAX,
    };
    let later = now + Duration::from_secs(1);
    let (reply, refused) =
        guard.apply_notice(&PartNotice::Refused([refusal.clone()].into()), later);
    assert_eq!((reply.proofs.len(), refused), (1, Vec::new()));
    // Nothing speaks against one about a part that this gateway does not know, but it ends in time.
    let unknown = PartRefusal { part: part(7), ..refusal };
    guard.apply_notice(&PartNotice::Refused([unknown].into()), later);
    assert_eq!(guard.refused_until(&[part(7)], later), Some((&part(7), later + CRASH_RETENTION)));
}

/// Guards against many more endpoints that end when the refusal of a part ends while the service is not repaired.
#[test]
fn one_end_after_a_refusal_refuses_the_part_again() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    let last = end_repeatedly(&mut guard, MAX_PART_CRASHES, now);
    let refused_at = last + ASSESSMENT_TIME;
    judge(&mut guard, refused_at);
    let retried_at = refused_at + CRASH_RETENTION;
    assert_eq!(guard.refused_until(&[part(2)], retried_at), None);
    end(&mut guard, 9, &[&[1, 2]], retried_at);
    assert_eq!(judge(&mut guard, retried_at + ASSESSMENT_TIME), [part(2)]);
}

/// Guards against a restart of all gateways that forgets which parts are refused.
#[test]
fn refusal_survives_in_the_store() {
    let now = Instant::now();
    let (mut guard, mut other) = (PartGuard::new(now), PartGuard::new(now));
    let last = end_repeatedly(&mut guard, MAX_PART_CRASHES, now);
    let later = last + ASSESSMENT_TIME;
    judge(&mut guard, later);
    let (saved, record) = guard.next_unsaved(NOW_MS, later).unwrap();
    assert_eq!(saved, part(2));
    assert!(other.adopt(&record.unwrap(), NOW_MS, later));
    assert!(other.refused_until(&[part(2)], later).is_some());
    guard.mark_saved(&part(2));
    assert_eq!(guard.next_unsaved(NOW_MS, later), None);
}

/// Guards against asking all gateways again and again about a part that cannot be refused, since too many are already.
#[test]
fn part_beyond_the_limit_is_judged_once() {
    let mut now = Instant::now();
    let mut guard = PartGuard::new(now);
    for number in 0..=256 {
        for crash in 0..3 {
            end(&mut guard, number * 3 + crash, &[&[number]], now);
        }
        now += ASSESSMENT_TIME;
        let refused = judge(&mut guard, now);
        assert_eq!(refused.len(), usize::from(number < 256), "part {number}");
    }
    assert_eq!(guard.next_decision(now), None);
}

/// Guards against an end that the registry shows late counting against a part that was answered meanwhile.
#[test]
fn end_that_is_known_late_counts_at_its_own_time() {
    let now = Instant::now();
    let mut guard = PartGuard::new(now);
    let answered_at = now + Duration::from_secs(2);
    guard.record_proof(&[part(2)], answered_at, answered_at);
    let known_at = now + Duration::from_secs(4);
    for crash in 0..5 {
        let parts = [part(2)].into();
        guard
            .record_end(PartReport { crash: CrashReportId(crash), age_ms: 3_000, parts }, known_at);
    }
    assert_eq!(judge(&mut guard, known_at + PROVEN_ASSESSMENT_TIME), []);
}
