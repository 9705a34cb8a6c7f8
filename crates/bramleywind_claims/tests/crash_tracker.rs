//! Crash crashes: which requests are isolated or refused, and on which endpoints they are retried.

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

/// Guards against a crashing request taking down a third endpoint, and against crashes that never expire.
#[test_case(0, 0, CrashVerdict::Clear)]
#[test_case(1, 0, CrashVerdict::Isolated)]
#[test_case(2, 0, CrashVerdict::Refused)]
#[test_case(3, 0, CrashVerdict::Refused)]
#[test_case(2, 1, CrashVerdict::Clear ; "expired")]
fn verdict_after_crashes(crashes: u32, retentions: u32, expected: CrashVerdict) {
    let now = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let request = fingerprint("poison");
    for number in 0..crashes {
        // The request is in flight twice at the same endpoint, and each report reaches the peer twice.
        let in_flight = [request.clone(), request.clone()];
        for report in here.record_crash(&endpoint(number), &in_flight, now) {
            there.apply(&report, now);
            there.apply(&report, now);
        }
    }
    let later = now + CRASH_RETENTION * retentions;
    assert_eq!(here.verdict(&request, later), expected);
    assert_eq!(there.verdict(&request, later), expected, "at the peer");
    assert_eq!(here.verdict(&fingerprint("bystander"), later), CrashVerdict::Clear);
}

/// Guards against a bystander being struck twice because it was retried beside the crashing request.
#[test]
fn requests_of_one_crash_are_kept_apart() {
    let now = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let [poison, bystander, other] = ["poison", "bystander", "other"].map(fingerprint);
    let mut reports = here.record_crash(&endpoint(1), &[poison.clone(), bystander.clone()], now);
    reports.extend(here.record_crash(&endpoint(9), std::slice::from_ref(&other), now));
    reports.extend(here.record_retry(&poison, &endpoint(2), now));
    assert_eq!(here.record_retry(&fingerprint("clear"), &endpoint(2), now), None);
    reports.iter().for_each(|report| there.apply(report, now));
    for tracker in [&here, &there] {
        let may_retry = |request, number| tracker.may_retry_on(request, &endpoint(number), now);
        assert!(!may_retry(&bystander, 1), "it crashed under this request");
        assert!(!may_retry(&bystander, 2), "another request of the crash runs there");
        assert!(may_retry(&bystander, 3));
        assert!(may_retry(&poison, 2), "its own retry");
        assert!(may_retry(&other, 2), "from another crash");
        assert!(may_retry(&fingerprint("clear"), 1));
    }
}

/// Guards against two routers sending requests from one crash to the same endpoint at the same moment, and
/// against more requests than endpoints waiting for ever.
#[test]
fn turns_of_one_crash_differ_and_come_round() {
    let now = Instant::now();
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let mut requests = ["a", "b", "c"].map(fingerprint);
    requests.sort();
    for report in here.record_crash(&endpoint(1), &requests, now) {
        there.apply(&report, now);
    }
    let endpoints = [1, 2, 3].map(endpoint).into();
    let turns: Vec<_> = [&here, &there, &here]
        .iter()
        .zip(&requests)
        .map(|(tracker, request)| tracker.assigned_endpoint(request, &endpoints, now))
        .collect();
    assert_eq!(turns, [Some(endpoint(2)), Some(endpoint(3)), None]);

    here.record_retry(&requests[0], &endpoint(2), now).unwrap();
    here.record_retry(&requests[1], &endpoint(3), now).unwrap();
    assert_eq!(here.assigned_endpoint(&requests[2], &endpoints, now), None);
    here.record_retry_end(&requests[1], &endpoint(3), now).unwrap();
    assert_eq!(here.assigned_endpoint(&requests[2], &endpoints, now), Some(endpoint(3)));
}

/// Guards against a request that was given up, and so is never retried, keeping its turn from the others.
#[test]
fn request_that_was_given_up_keeps_no_turn() {
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
