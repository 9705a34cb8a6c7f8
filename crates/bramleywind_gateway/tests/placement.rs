//! Which endpoint gets a request. Each test names the load that it stands for.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_gateway::placement::{
    Candidate, LatencyPlacement, PlacementPolicy, PlacementRequest,
};

/// A long prompt, most of which others share.
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
        is_local: false,
    }
}

fn chosen(request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize> {
    LatencyPlacement.choose(request, candidates)
}

/// Processes that know nothing of one another fill the same cache with a prefix.
#[test]
fn cold_prefix_goes_to_its_home() {
    let engines = [engine(1), engine(9), engine(5)];
    assert_eq!(chosen(&REVIEW, &engines), Some(1));
}

/// Engines of one service differ in speed by more than two.
#[test]
fn home_on_a_slow_engine_is_given_up() {
    let slow = Candidate { pace_ms: Some(150.0), ..engine(9) };
    assert_eq!(chosen(&REVIEW, &[engine(1), slow, engine(5)]), Some(2));
}

/// One prefix gets much of the traffic: its home has more to read than another engine would need for all of it.
#[test]
fn hot_prefix_spills_to_the_second_home() {
    let busy = Candidate { backlog_tokens: 30_000, in_flight: 10, ..engine(9) };
    assert_eq!(chosen(&REVIEW, &[engine(1), busy, engine(5)]), Some(2));
}

/// What spilled once is read from the cache that it filled.
#[test]
fn engine_that_holds_the_prefix_is_as_good_as_its_home() {
    let holder = Candidate { cached_tokens: 6_300, pace_ms: Some(25.0), ..engine(1) };
    assert_eq!(chosen(&REVIEW, &[holder, engine(9), engine(5)]), Some(0));
}

/// A new engine is tried, and not swamped: it counts as a usual one.
#[test]
fn engine_of_unknown_pace_counts_as_a_usual_one() {
    let new = Candidate { pace_ms: None, ..engine(9) };
    assert_eq!(chosen(&REVIEW, &[engine(1), new]), Some(1));
    let swamped = Candidate { backlog_tokens: 30_000, ..new };
    assert_eq!(chosen(&REVIEW, &[engine(1), swamped]), Some(0));
}

/// Engines fail while their registry entry is good.
#[test]
fn failing_endpoint_is_avoided_unless_all_fail() {
    let failing = Candidate { is_avoided: true, ..engine(9) };
    assert_eq!(chosen(&REVIEW, &[engine(1), failing]), Some(0));
    assert_eq!(chosen(&REVIEW, &[failing]), Some(0));
    assert_eq!(chosen(&REVIEW, &[]), None);
}

/// A desk with few places: the better of two that are drawn, so that all gateways do not pick the same one.
#[test]
fn service_requests_spread_and_avoid_the_slow_endpoint() {
    let desks = [
        Candidate { slots: 6, ..engine(1) },
        Candidate { slots: 6, pace_ms: Some(300.0), ..engine(2) },
        Candidate { slots: 6, ..engine(3) },
    ];
    let mut counts = [0; 3];
    for number in 0..300_u64 {
        let tie_break = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let request = PlacementRequest { prompt_tokens: 0, shared_tokens: 0, tie_break };
        counts[chosen(&request, &desks).unwrap()] += 1;
    }
    assert_eq!(counts[1], 0);
    assert!(counts[0] > 75 && counts[2] > 75, "{counts:?}");
}
