//! Tests the choice of the endpoint for a request. The comment on each test names the load that it represents.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_gateway::placement::{
    Candidate, LatencyPlacement, PlacementPolicy, PlacementRequest,
};

/// A request with a long prompt, most of which is shared with other requests.
const REVIEW: PlacementRequest =
    PlacementRequest { prompt_tokens: 9_190, shared_tokens: 6_300, tie_break: 7 };

fn engine(affinity: u64) -> Candidate {
    Candidate {
        affinity,
        in_flight: 0,
        backlog_tokens: 0,
        cached_tokens: 0,
        reported_requests: None,
        slots: 64,
        pace_ms: Some(30.0),
        is_avoided: false,
        failure_rate: 0.0,
        is_local: false,
    }
}

fn choose_index(request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize> {
    LatencyPlacement.choose(request, candidates)
}

/// Processes that do not coordinate send a prefix to the same engine, so that it fills only one cache.
#[test]
fn uncached_prefix_goes_to_its_primary_engine() {
    let engines = [engine(1), engine(9), engine(5)];
    assert_eq!(choose_index(&REVIEW, &engines), Some(1));
}

/// Engines of one service differ in speed by more than a factor of two.
#[test]
fn slow_primary_engine_is_passed_over() {
    let slow = Candidate { pace_ms: Some(150.0), ..engine(9) };
    assert_eq!(choose_index(&REVIEW, &[engine(1), slow, engine(5)]), Some(2));
}

/// An engine that fails most of its requests looks fast, since failed ones are answered soon.
#[test]
fn engine_that_fails_requests_is_passed_over() {
    let failing = Candidate { failure_rate: 0.9, pace_ms: Some(20.0), ..engine(9) };
    assert_eq!(choose_index(&REVIEW, &[engine(1), failing, engine(5)]), Some(2));
}

/// One prefix gets a large part of the traffic, and its primary engine has a longer backlog than another engine would
/// need to prefill the whole prompt.
#[test]
fn hot_prefix_overflows_to_the_secondary_engine() {
    let busy = Candidate { backlog_tokens: 30_000, in_flight: 10, ..engine(9) };
    assert_eq!(choose_index(&REVIEW, &[engine(1), busy, engine(5)]), Some(2));
}

/// A prefix that overflowed to another engine is served from the cache that it filled there.
#[test]
fn engine_with_the_cached_prefix_is_as_good_as_the_primary() {
    let holder = Candidate { cached_tokens: 6_300, pace_ms: Some(25.0), ..engine(1) };
    assert_eq!(choose_index(&REVIEW, &[holder, engine(9), engine(5)]), Some(0));
}

/// A new engine gets requests but is not overloaded: it is assumed to be as fast as a typical one.
#[test]
fn engine_of_unknown_speed_counts_as_a_typical_one() {
    let new = Candidate { pace_ms: None, ..engine(9) };
    assert_eq!(choose_index(&REVIEW, &[engine(1), new]), Some(1));
    let overloaded = Candidate { backlog_tokens: 30_000, ..new };
    assert_eq!(choose_index(&REVIEW, &[engine(1), overloaded]), Some(0));
}

/// Engines fail while their registry entries are still valid.
#[test]
fn failing_endpoint_is_avoided_unless_all_fail() {
    let failing = Candidate { is_avoided: true, ..engine(9) };
    assert_eq!(choose_index(&REVIEW, &[engine(1), failing]), Some(0));
    assert_eq!(choose_index(&REVIEW, &[failing]), Some(0));
    assert_eq!(choose_index(&REVIEW, &[]), None);
}

/// A plain service with few slots: the better of two random endpoints is chosen, so that the gateways do not all pick
/// the same one.
#[test]
fn service_requests_spread_and_avoid_the_slow_endpoint() {
    let endpoints = [
        Candidate { slots: 6, ..engine(1) },
        Candidate { slots: 6, pace_ms: Some(300.0), ..engine(2) },
        Candidate { slots: 6, ..engine(3) },
    ];
    let mut counts = [0; 3];
    for number in 0..300_u64 {
        let tie_break = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let request = PlacementRequest { prompt_tokens: 0, shared_tokens: 0, tie_break };
        counts[choose_index(&request, &endpoints).unwrap()] += 1;
    }
    assert_eq!(counts[1], 0);
    assert!(counts[0] > 75 && counts[2] > 75, "{counts:?}");
}
