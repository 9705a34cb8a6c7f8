//! Tests of the crash tracker: which requests are isolated or refused, and on which endpoints they are retried.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Instant;

use bramleywind_claims::{CRASH_RETENTION, CrashTracker, CrashVerdict, RequestFingerprint};
use bramleywind_types::{BodyHash, EndpointId};
use test_case::test_case;

fn fingerprint(name: &str) -> RequestFingerprint {
    RequestFingerprint {
        workspace: "ferries".parse().unwrap(),
        body_hash: BodyHash::of(&[name.as_bytes()]),
    }
}

fn endpoint(number: u32) -> EndpointId {
    format!("engine-{number}").parse().unwrap()
}

/// Guards against a request crashing a third endpoint, and against crashes counting forever.
#[test_case(0, 0, CrashVerdict::Clear)]
#[test_case(1, 0, CrashVerdict::Isolated)]
#[test_case(2, 0, CrashVerdict::Refused)]
#[test_case(3, 0, CrashVerdict::Refused)]
#[test_case(2, 1, CrashVerdict::Clear ; "expired")]
fn verdict_after_crashes(crashes: u32, retentions: u32, expected: CrashVerdict) {
    let now = Instant::now();
    let (mut local, mut peer) = (CrashTracker::default(), CrashTracker::default());
    let request = fingerprint("poison");
    for number in 0..crashes {
        // Two copies of the request are in flight on the endpoint, and each report reaches the peer twice.
        let in_flight = [request.clone(), request.clone()];
        for report in local.record_crash(&endpoint(number), &in_flight, now) {
            peer.apply(&report, now);
            peer.apply(&report, now);
        }
    }
    let later = now + CRASH_RETENTION * retentions;
    assert_eq!(local.verdict(&request, later), expected);
    assert_eq!(peer.verdict(&request, later), expected, "at the peer");
    assert_eq!(local.verdict(&fingerprint("bystander"), later), CrashVerdict::Clear);
}

/// Guards against one crash counting twice because copies of the request were in flight there through two routers.
#[test]
fn crash_reported_by_two_routers_counts_once() {
    let now = Instant::now();
    let (mut local, mut peer) = (CrashTracker::default(), CrashTracker::default());
    let in_flight = [fingerprint("popular")];
    let reports = local.record_crash(&endpoint(1), &in_flight, now);
    peer.record_crash(&endpoint(1), &in_flight, now);
    reports.iter().for_each(|report| peer.apply(report, now));
    assert_eq!(peer.verdict(&in_flight[0], now), CrashVerdict::Isolated);
    peer.record_crash(&endpoint(2), &in_flight, now);
    assert_eq!(peer.verdict(&in_flight[0], now), CrashVerdict::Refused);
}

/// Guards against a report that is repeated for the same crash making it count for longer.
#[test]
fn repeated_report_does_not_prolong_a_crash() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let request = fingerprint("poison");
    let mut reports = tracker.record_crash(&endpoint(1), std::slice::from_ref(&request), now);
    reports.extend(tracker.record_crash(&endpoint(2), std::slice::from_ref(&request), now));
    let later = now + CRASH_RETENTION / 2;
    reports.iter().for_each(|report| tracker.apply(report, later));
    assert_eq!(tracker.refused_until(&request, later), Some(now + CRASH_RETENTION));
    assert_eq!(tracker.verdict(&request, now + CRASH_RETENTION), CrashVerdict::Clear);
}

/// Guards against a harmless request being refused after it was retried on the same endpoint as the crashing one.
#[test]
fn requests_of_one_crash_are_kept_apart() {
    let now = Instant::now();
    let (mut local, mut peer) = (CrashTracker::default(), CrashTracker::default());
    let [poison, bystander, other] = ["poison", "bystander", "other"].map(fingerprint);
    let mut reports = local.record_crash(&endpoint(1), &[poison.clone(), bystander.clone()], now);
    reports.extend(local.record_crash(&endpoint(9), std::slice::from_ref(&other), now));
    reports.extend(local.record_retry(&poison, &endpoint(2), now));
    assert_eq!(local.record_retry(&fingerprint("clear"), &endpoint(2), now), None);
    reports.iter().for_each(|report| peer.apply(report, now));
    for tracker in [&local, &peer] {
        let may_retry = |request, number| tracker.may_retry_on(request, &endpoint(number), now);
        assert!(!may_retry(&bystander, 1), "the endpoint crashed with this request in flight");
        assert!(!may_retry(&bystander, 2), "another request from the same crash is retried there");
        assert!(may_retry(&bystander, 3));
        assert!(may_retry(&poison, 2), "it is its own retry");
        assert!(may_retry(&other, 2), "it is from another crash");
        assert!(may_retry(&fingerprint("clear"), 1));
    }
}

/// Guards against two routers sending requests from one crash to the same endpoint at the same time, and against
/// requests waiting forever if there are more of them than endpoints.
#[test]
fn requests_of_one_crash_are_assigned_distinct_endpoints_in_order() {
    let now = Instant::now();
    let (mut local, mut peer) = (CrashTracker::default(), CrashTracker::default());
    let mut requests = ["a", "b", "c"].map(fingerprint);
    requests.sort();
    for report in local.record_crash(&endpoint(1), &requests, now) {
        peer.apply(&report, now);
    }
    let endpoints = [1, 2, 3].map(endpoint).into();
    let assigned: Vec<_> = [&local, &peer, &local]
        .iter()
        .zip(&requests)
        .map(|(tracker, request)| tracker.assigned_endpoint(request, &endpoints, now))
        .collect();
    assert_eq!(assigned, [Some(endpoint(2)), Some(endpoint(3)), None]);

    local.record_retry(&requests[0], &endpoint(2), now).unwrap();
    local.record_retry(&requests[1], &endpoint(3), now).unwrap();
    assert_eq!(local.assigned_endpoint(&requests[2], &endpoints, now), None);
    local.record_retry_end(&requests[1], &endpoint(3), now).unwrap();
    assert_eq!(local.assigned_endpoint(&requests[2], &endpoints, now), Some(endpoint(3)));
}

/// Guards against a request that was given up, and so is never retried, blocking an endpoint for the others.
#[test]
fn request_that_was_given_up_frees_its_endpoint() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut requests = ["a", "b"].map(fingerprint);
    requests.sort();
    tracker.record_crash(&endpoint(1), &requests, now);
    let endpoints = [1, 2].map(endpoint).into();
    assert_eq!(tracker.assigned_endpoint(&requests[1], &endpoints, now), None);
    tracker.record_retry_end(&requests[0], &endpoint(1), now).unwrap();
    assert_eq!(tracker.assigned_endpoint(&requests[1], &endpoints, now), Some(endpoint(2)));
}
