//! Tests which requests are refused because they crash endpoints, and what the fleet is told about them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_claims::CRASH_RETENTION;
use bramleywind_gateway::{
    crashes::{
        CallFingerprint, CrashEffect, CrashGuard, CrashNotice, NoticeAudience, NoticeReply,
        RunProgress,
    },
    endpoints::EndpointRecord,
};
use http::{Method, Uri};
use test_case::test_case;

use RunProgress::{Begun, Unanswered};

const NOW_MS: u64 = 1_780_000_000_000;

fn request(workspace: Option<&str>, path: &'static str, body: &str) -> CallFingerprint {
    let workspace = workspace.map(|workspace| workspace.parse().unwrap());
    let service = "desk".parse().unwrap();
    let target = Uri::from_static(path);
    CallFingerprint::of(workspace, &service, &Method::POST, &target, body.as_bytes())
}

fn endpoint(number: u16, started_at_ms: u64) -> EndpointRecord {
    EndpointRecord {
        id: format!("desk-{number}").parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: ([127, 0, 0, 1], number).into(),
        data_centre: "north".parse().unwrap(),
        slots: 6,
        is_leaving: false,
        started_at_ms: Some(started_at_ms),
    }
}

/// Returns the notices that a guard has to send, one for each audience.
fn notices(guard: &mut CrashGuard) -> Vec<CrashNotice> {
    let outbox = guard.take_outbox();
    [
        (NoticeAudience::Counters, outbox.for_counters),
        (NoticeAudience::Everyone, outbox.for_everyone),
    ]
    .into_iter()
    .filter(|(_, reports)| !reports.is_empty())
    .map(|(audience, reports)| CrashNotice { audience, reports })
    .collect()
}

/// Guards against requests that differ being taken for copies of one, and copies for different requests.
#[test_case(Some("menders"), "/orders/7", "{}", true; "copy")]
#[test_case(Some("ferries"), "/orders/7", "{}", false; "another workspace")]
#[test_case(None, "/orders/7", "{}", false; "no workspace")]
#[test_case(Some("menders"), "/orders/7?x=1", "{}", false; "another query")]
#[test_case(Some("menders"), "/orders/7", "{ }", false; "another body")]
fn copies_have_the_same_fingerprint(
    workspace: Option<&str>,
    path: &'static str,
    body: &str,
    is_copy: bool,
) {
    let original = request(Some("menders"), "/orders/7", "{}");
    let other = request(workspace, path, body);
    assert_eq!(
        (original == other, original.short_hash() == other.short_hash()),
        (is_copy, is_copy)
    );
}

/// Guards against one end of an endpoint counting once for each copy that was in flight or each gateway that saw it.
#[test]
fn one_end_counts_once_for_all_copies_and_gateways() {
    let now = Instant::now();
    let crashing = request(None, "/orders/7", "");
    let (mut first, mut second) = (CrashGuard::new(now), CrashGuard::new(now));
    assert_eq!(
        first.record_crash(&crashing, &endpoint(1, 1), Unanswered, now),
        CrashEffect::Suspected
    );
    assert_eq!(
        first.record_crash(&crashing, &endpoint(1, 1), Unanswered, now),
        CrashEffect::Suspected
    );
    assert_eq!(
        second.record_crash(&crashing, &endpoint(1, 1), Unanswered, now),
        CrashEffect::Suspected
    );
    for notice in notices(&mut first) {
        assert_eq!(second.apply_notice(&notice, now), (NoticeReply::default(), Vec::new()));
    }
    assert_eq!(second.refused_until(&crashing, now), None);
    // The next start under the same name is another process.
    assert_eq!(
        second.record_crash(&crashing, &endpoint(1, 2), Unanswered, now),
        CrashEffect::Refused
    );
    assert_eq!(second.refused_until(&crashing, now), Some(now + CRASH_RETENTION));
}

/// Guards against a long answer being refused because its endpoints end for other reasons, and against one that crashes
/// them late being sent forever.
#[test_case(&[Begun, Begun], false)]
#[test_case(&[Unanswered, Begun], false)]
#[test_case(&[Unanswered, Unanswered], true)]
#[test_case(&[Begun, Begun, Begun], true)]
#[test_case(&[Begun, Unanswered, Begun], true)]
fn ends_of_endpoints_that_had_begun_to_answer(progress: &[RunProgress], is_refused: bool) {
    let now = Instant::now();
    let request = request(None, "/orders/7", "");
    let (mut guard, mut told) = (CrashGuard::new(now), CrashGuard::new(now));
    for (number, progress) in (1..).zip(progress) {
        guard.record_crash(&request, &endpoint(number, 1), *progress, now);
    }
    for notice in notices(&mut guard) {
        told.apply_notice(&notice, now);
    }
    let refused_until = is_refused.then(|| now + CRASH_RETENTION);
    assert_eq!(guard.refused_until(&request, now), refused_until);
    assert_eq!(told.refused_until(&request, now), refused_until);
}

/// Guards against a copy that has just begun outweighing another one that had run for a while at the same end.
#[test]
fn longest_run_at_one_end_counts() {
    let now = Instant::now();
    let request = request(None, "/orders/7", "");
    let mut guard = CrashGuard::new(now);
    guard.record_crash(&request, &endpoint(1, 1), Unanswered, now);
    guard.record_crash(&request, &endpoint(1, 1), Begun, now);
    guard.record_crash(&request, &endpoint(2, 1), Unanswered, now);
    assert_eq!(guard.refused_until(&request, now), None);
}

/// Guards against a request that crashes one endpoint by way of each gateway without being noticed.
#[test]
fn crashes_seen_by_different_gateways_are_added_up() {
    let now = Instant::now();
    let crashing = request(None, "/orders/7", "");
    let mut guards: Vec<_> = (0..3).map(|_| CrashGuard::new(now)).collect();
    for (index, number) in [(0, 1), (1, 2)] {
        guards[index].record_crash(&crashing, &endpoint(number, 1), Unanswered, now);
    }
    // Only the third gateway counts the crashes of this request. What it finds goes to everyone.
    for index in 0..2 {
        for notice in notices(&mut guards[index]) {
            assert_eq!(notice.audience, NoticeAudience::Counters);
            guards[2].apply_notice(&notice, now);
        }
    }
    let found = notices(&mut guards[2]);
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].audience, found[0].reports.len()), (NoticeAudience::Everyone, 2));
    for guard in &mut guards[..2] {
        assert_eq!(guard.apply_notice(&found[0], now).1, std::slice::from_ref(&crashing));
        assert!(guard.refused_until(&crashing, now).is_some());
        assert!(!guard.has_news(), "a gateway that is told does not tell others");
    }
}

/// Guards against a popular request being refused because many endpoints end for other reasons while it is in flight.
#[test]
fn request_that_was_answered_lately_is_not_suspected() {
    let now = Instant::now();
    let popular = request(None, "/orders/popular", "");
    let mut guard = CrashGuard::new(now);
    guard.record_answer(&popular, now);
    for number in 1..20 {
        let effect = guard.record_crash(&popular, &endpoint(number, 1), Unanswered, now);
        assert_eq!(effect, CrashEffect::Harmless);
    }
    assert!(!guard.has_news());
}

/// Guards against a refusal that outlasts the proof that the request is harmless.
#[test]
fn answer_at_any_gateway_ends_a_refusal_everywhere() {
    let now = Instant::now();
    let popular = request(None, "/orders/popular", "");
    let (mut first, mut second) = (CrashGuard::new(now), CrashGuard::new(now));
    let mut third = CrashGuard::new(now);
    second.record_answer(&popular, now);
    first.record_crash(&popular, &endpoint(1, 1), Unanswered, now);
    first.record_crash(&popular, &endpoint(2, 1), Unanswered, now);
    assert_eq!(first.next_unsaved(), Some(popular.clone()));
    let (mut cleared, mut told) = (Vec::new(), false);
    for notice in notices(&mut first) {
        third.apply_notice(&notice, now);
        told |= third.refused_until(&popular, now).is_some();
        let (reply, _) = second.apply_notice(&notice, now);
        cleared.extend(first.apply_reply(&reply, now));
    }
    assert!(told);
    assert_eq!(cleared, std::slice::from_ref(&popular));
    assert_eq!((first.next_unsaved(), first.next_unremoved()), (None, Some(popular.clone())));
    for notice in notices(&mut first) {
        third.apply_notice(&notice, now);
    }
    for guard in [&mut first, &mut second, &mut third] {
        assert_eq!(guard.refused_until(&popular, now), None);
        // Late reports of the same ends change nothing.
        assert_eq!(
            guard.record_crash(&popular, &endpoint(2, 1), Unanswered, now),
            CrashEffect::Harmless
        );
    }
}

/// Guards against a refusal that never ends, and against one that a late reader of the record prolongs.
#[test_case(0, true)]
#[test_case(599, true; "a second left")]
#[test_case(600, false; "ended")]
fn record_in_the_store_refuses_until_its_end(age_seconds: u64, is_adopted: bool) {
    let now = Instant::now();
    let crashing = request(Some("menders"), "/orders/7", "");
    let mut writer = CrashGuard::new(now);
    writer.record_crash(&crashing, &endpoint(1, 1), Unanswered, now);
    writer.record_crash(&crashing, &endpoint(2, 1), Unanswered, now);
    let record = writer.record_of(&crashing, NOW_MS, now).unwrap();
    let mut reader = CrashGuard::new(now);
    let read_at_ms = NOW_MS + age_seconds * 1_000;
    assert_eq!(reader.adopt(&record, read_at_ms, now), is_adopted);
    assert!(!reader.adopt(&record, read_at_ms, now), "it is adopted once");
    let left = Duration::from_secs(600 - age_seconds);
    assert_eq!(reader.refused_until(&crashing, now), is_adopted.then(|| now + left));
    assert_eq!(reader.refused_until(&crashing, now + left), None);
}

/// Guards against a clock that is behind making a refusal last longer than the crashes count.
#[test]
fn clock_that_is_behind_does_not_prolong_a_refusal() {
    let now = Instant::now();
    let crashing = request(None, "/orders/7", "");
    let mut writer = CrashGuard::new(now);
    writer.record_crash(&crashing, &endpoint(1, 1), Unanswered, now);
    writer.record_crash(&crashing, &endpoint(2, 1), Unanswered, now);
    let record = writer.record_of(&crashing, NOW_MS, now).unwrap();
    let mut reader = CrashGuard::new(now);
    assert!(reader.adopt(&record, NOW_MS - 3_600_000, now));
    assert_eq!(reader.refused_until(&crashing, now), Some(now + CRASH_RETENTION));
}

/// Guards against unbounded messages when many endpoints end at once with many requests in flight.
#[test]
fn reports_of_a_mass_loss_are_bounded() {
    let now = Instant::now();
    let mut guard = CrashGuard::new(now);
    for number in 0..10_000 {
        let body = number.to_string();
        guard.record_crash(
            &request(None, "/orders/7", &body),
            &endpoint(number % 100, 1),
            Unanswered,
            now,
        );
    }
    let outbox = guard.take_outbox();
    assert_eq!((outbox.for_counters.len(), outbox.for_everyone.len()), (4_096, 0));
    assert_eq!(outbox.dropped, 10_000 - 4_096);
}

/// Guards against notices that a narrow link cannot carry to hundreds of gateways.
#[test]
fn notice_of_a_refusal_is_small() {
    let now = Instant::now();
    let mut guard = CrashGuard::new(now);
    let crashing = request(Some("menders"), "/orders/7", "");
    guard.record_crash(&crashing, &endpoint(1, 1), Unanswered, now);
    guard.take_outbox();
    guard.record_crash(&crashing, &endpoint(2, 1), Unanswered, now);
    let sizes: Vec<_> = notices(&mut guard)
        .iter()
        .map(|notice| {
            bincode::serde::encode_to_vec(notice, bincode::config::standard()).unwrap().len()
        })
        .collect();
    insta::assert_debug_snapshot!(sizes, @r"
    [
        120,
    ]
    ");
}
