//! Tests the endpoint set and endpoint health. Guards against requests to endpoints that left, and against
//! observations that are carried over to another start under the same name.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::endpoints::{EndpointHealth, EndpointRecord, EndpointSet, EntryEffect};

fn record(id: &str, port: u16, started_at_ms: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "north".parse().unwrap(),
        slots: 64,
        is_leaving: false,
        started_at_ms: Some(started_at_ms),
    }
}

fn open_count(endpoints: &EndpointSet) -> usize {
    endpoints.open_endpoints(&"engines".parse().unwrap()).count()
}

#[test]
fn leaving_endpoint_gets_no_requests() {
    let mut endpoints = EndpointSet::default();
    assert_eq!(endpoints.insert(record("i-1", 1, 5)), EntryEffect::Added);
    let leaving = EndpointRecord { is_leaving: true, ..record("i-1", 1, 5) };
    assert_eq!(endpoints.insert(leaving), EntryEffect::Leaving);
    assert_eq!(open_count(&endpoints), 0);
}

#[test]
fn later_start_under_the_same_name_has_no_earlier_observations() {
    let mut endpoints = EndpointSet::default();
    endpoints.insert(record("i-1", 1, 5));
    let old = endpoints.iter().next().unwrap().clone();
    let _guard = old.track_request(Some(100), Instant::now());
    assert_eq!(endpoints.insert(record("i-1", 1, 6)), EntryEffect::Added);
    assert_eq!(endpoints.iter().next().unwrap().in_flight(), 0);
    assert!(!old.is_open());
}

#[test]
fn endpoint_whose_entry_comes_back_is_kept() {
    let now = Instant::now();
    let mut endpoints = EndpointSet::default();
    endpoints.insert(record("i-1", 1, 5));
    endpoints.insert(record("i-2", 2, 5));
    let until = now + Duration::from_secs(2);
    endpoints.mark_missing(&"i-1".parse().unwrap(), until);
    endpoints.mark_missing(&"i-2".parse().unwrap(), until);
    assert_eq!(endpoints.next_removal_time(), Some(until));
    endpoints.insert(record("i-2", 2, 5));
    assert_eq!(endpoints.remove_missing(until), vec!["i-1".parse().unwrap()]);
    assert_eq!(open_count(&endpoints), 1);
    assert_eq!(endpoints.next_removal_time(), None);
}

#[test]
fn failing_endpoint_backs_off_longer_each_time_and_is_tried_again() {
    let now = Instant::now();
    let mut health = EndpointHealth::default();
    health.record_failure(now);
    assert!(health.is_avoided(now + Duration::from_millis(200)));
    assert!(!health.is_avoided(now + Duration::from_millis(300)));
    health.record_failure(now);
    assert!(health.is_avoided(now + Duration::from_millis(300)));
    for _ in 0..20 {
        health.record_failure(now);
    }
    assert!(!health.is_avoided(now + Duration::from_secs(2)));
    health.record_success(now);
    assert_eq!(health.consecutive_failures(), 0);
}

#[test]
fn request_is_in_flight_until_its_guard_is_dropped() {
    let mut endpoints = EndpointSet::default();
    endpoints.insert(record("i-1", 1, 5));
    let endpoint = endpoints.iter().next().unwrap().clone();
    let now = Instant::now();
    let mut guard = endpoint.track_request(Some(1_500), now);
    assert_eq!((endpoint.in_flight(), endpoint.backlog_tokens()), (1, 1_500));
    guard.record_first_answer(now + Duration::from_millis(200));
    assert_eq!((endpoint.in_flight(), endpoint.backlog_tokens()), (1, 0));
    assert_eq!(endpoint.pace_ms(), Some(100.0));
    drop(guard);
    assert_eq!(endpoint.in_flight(), 0);
}

/// An endpoint that fails a part of its requests and answers the others is not sound, and one that has failed is tried again.
#[test]
fn failure_rate_follows_the_outcomes_and_fades() {
    let (mut health, now) = (EndpointHealth::default(), Instant::now());
    for _ in 0..20 {
        health.record_error(now);
        health.record_success(now);
    }
    let rate = health.failure_rate(now);
    assert!((0.4..0.6).contains(&rate), "{rate}");
    assert!(!health.is_avoided(now));
    assert!(health.failure_rate(now + Duration::from_secs(15)) < rate / 7.0);
}
