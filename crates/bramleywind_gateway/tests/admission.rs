//! Admission under overload, in virtual time. Guards against an instance on which everything is late because the callers of
//! one workspace send it more than its link or its memory carries.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::admission::{
    AdmissionControl, AdmissionDecision, InstanceLimits, LinkDelays, LinkRate, MemorySize,
};
use bramleywind_http::TrafficTotals;
use test_case::test_case;

const LINK: LinkRate = LinkRate(10_000);

/// The sizes in bytes of long, short and plain requests with their ranks, as a workspace sends them in turn.
const REQUESTS: [(u64, u32); 4] = [(12_000, 1), (800, 0), (2_400, 2), (600, 2)];

/// The bytes that a response adds to its request in each direction.
const RESPONSE_BYTES: u64 = 3_000;

/// The outcome of a replayed load.
#[derive(Debug, Default)]
struct Replay {
    admitted: [u64; 3],
    refused: [u64; 3],
    max_delay: Duration,
}

/// Sends `per_second` requests a second for ten seconds. The bytes of admitted requests pass the link once in each direction.
fn replay_load(limits: InstanceLimits, per_second: u32) -> Replay {
    let start = Instant::now();
    let control = AdmissionControl::new(limits, start);
    let mut totals = TrafficTotals::default();
    let mut replay = Replay::default();
    for index in 0..per_second * 10 {
        let now = start + Duration::from_secs_f64(f64::from(index) / f64::from(per_second));
        let (bytes, rank) = REQUESTS[index as usize % REQUESTS.len()];
        let delays = control.record_traffic(totals, now);
        let decision = control.decide(rank, 0, delays);
        if decision == AdmissionDecision::Admit {
            replay.admitted[rank as usize] += 1;
            replay.max_delay = replay.max_delay.max(delays.longest());
            totals.received += bytes + RESPONSE_BYTES;
            totals.sent += bytes + RESPONSE_BYTES;
        } else {
            replay.refused[rank as usize] += 1;
        }
    }
    replay
}

#[test]
fn load_below_the_link_rate_is_admitted() {
    let replay = replay_load(InstanceLimits { link: Some(LINK), memory: None }, 100);
    assert_eq!(replay.refused, [0; 3]);
}

#[test]
fn overload_is_refused_until_the_link_keeps_up() {
    let replay = replay_load(InstanceLimits { link: Some(LINK), memory: None }, 400);
    assert!(replay.max_delay <= Duration::from_millis(200), "{replay:?}");
    assert!(replay.refused.iter().sum::<u64>() > 0, "{replay:?}");
}

#[test]
fn urgent_requests_are_refused_last() {
    let replay = replay_load(InstanceLimits { link: Some(LINK), memory: None }, 400);
    let admitted_share = |rank: usize| {
        replay.admitted[rank] as f64 / (replay.admitted[rank] + replay.refused[rank]) as f64
    };
    assert!(admitted_share(0) > 0.95, "{replay:?}");
    assert!(admitted_share(1) > admitted_share(2), "{replay:?}");
}

#[test]
fn unknown_limits_admit_everything() {
    let replay = replay_load(InstanceLimits::default(), 4_000);
    assert_eq!(replay.refused, [0; 3]);
}

#[test_case(110.0, 400, true; "below the limit of 110 MB")]
#[test_case(110.0, 2_000, false; "above the limit of 110 MB")]
#[test_case(2.0, 15, true; "below the least limit")]
#[test_case(2.0, 16, false; "at the least limit")]
fn open_requests_are_limited_by_memory(megabytes: f64, open_requests: usize, is_admitted: bool) {
    let limits = InstanceLimits { memory: Some(MemorySize::from_megabytes(megabytes)), link: None };
    let control = AdmissionControl::new(limits, Instant::now());
    let decision = control.decide(0, open_requests, LinkDelays::default());
    assert_eq!(decision == AdmissionDecision::Admit, is_admitted, "{decision:?}");
}

#[test]
fn saturated_link_takes_no_connections_for_a_moment() {
    let start = Instant::now();
    let control = AdmissionControl::new(InstanceLimits { link: Some(LINK), memory: None }, start);
    let idle = LinkDelays::default();
    let saturated = LinkDelays { received: Duration::from_millis(200), ..idle };
    let answers =
        [(0, idle), (10, saturated), (50, idle), (309, idle), (310, idle), (320, saturated)].map(
            |(at_ms, delays)| {
                control.takes_connections(delays, start + Duration::from_millis(at_ms))
            },
        );
    assert_eq!(answers, [true, false, false, false, true, false]);
}

#[test]
fn lasting_saturation_still_lets_single_connections_in() {
    let start = Instant::now();
    let control = AdmissionControl::new(InstanceLimits { link: Some(LINK), memory: None }, start);
    let saturated = LinkDelays { received: Duration::from_millis(200), ..LinkDelays::default() };
    let accepted = (0..200).filter(|step| {
        control.takes_connections(saturated, start + Duration::from_millis(step * 50))
    });
    // One connection each 1.5 s, in ten seconds.
    assert_eq!(accepted.count(), 6);
}
