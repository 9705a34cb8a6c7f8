//! Endpoints and their health. Guards against work for endpoints that left, and for a foreign start at a known name.

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

fn open_count(book: &EndpointSet) -> usize {
    book.open_endpoints(&"engines".parse().unwrap()).count()
}

#[test]
fn leaving_endpoint_gets_no_work() {
    let mut book = EndpointSet::default();
    assert_eq!(book.insert(record("i-1", 1, 5)), EntryEffect::Added);
    let leaving = EndpointRecord { is_leaving: true, ..record("i-1", 1, 5) };
    assert_eq!(book.insert(leaving), EntryEffect::Leaving);
    assert_eq!(open_count(&book), 0);
}

#[test]
fn later_start_under_the_same_name_knows_nothing_of_before() {
    let mut book = EndpointSet::default();
    book.insert(record("i-1", 1, 5));
    let old = book.iter().next().unwrap().clone();
    let _work = old.track_request(Some(100), Instant::now());
    assert_eq!(book.insert(record("i-1", 1, 6)), EntryEffect::Added);
    assert_eq!(book.iter().next().unwrap().in_flight(), 0);
    assert!(!old.is_open());
}

#[test]
fn entry_that_lapsed_with_the_store_comes_back() {
    let now = Instant::now();
    let mut book = EndpointSet::default();
    book.insert(record("i-1", 1, 5));
    book.insert(record("i-2", 2, 5));
    let until = now + Duration::from_secs(2);
    book.mark_missing(&"i-1".parse().unwrap(), until);
    book.mark_missing(&"i-2".parse().unwrap(), until);
    assert_eq!(book.next_removal_time(), Some(until));
    book.insert(record("i-2", 2, 5));
    assert_eq!(book.remove_missing(until), vec!["i-1".parse().unwrap()]);
    assert_eq!(open_count(&book), 1);
    assert_eq!(book.next_removal_time(), None);
}

#[test]
fn failing_endpoint_is_avoided_longer_each_time_and_tried_again() {
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
    health.record_success();
    assert_eq!(health.failures_in_row(), 0);
}

#[test]
fn work_is_counted_until_it_ends() {
    let mut book = EndpointSet::default();
    book.insert(record("i-1", 1, 5));
    let endpoint = book.iter().next().unwrap().clone();
    let now = Instant::now();
    let mut work = endpoint.track_request(Some(1_500), now);
    assert_eq!((endpoint.in_flight(), endpoint.backlog_tokens()), (1, 1_500));
    work.note_answer(now + Duration::from_millis(200));
    assert_eq!((endpoint.in_flight(), endpoint.backlog_tokens()), (1, 0));
    assert_eq!(endpoint.pace_ms(), Some(100.0));
    drop(work);
    assert_eq!(endpoint.in_flight(), 0);
}
