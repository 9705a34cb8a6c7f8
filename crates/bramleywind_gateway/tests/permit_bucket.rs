//! Checks the permits for requests to endpoints that limit them. Guards against bursts above the rate that an endpoint names,
//! against limits that never end, and against urgent requests that wait behind others.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::rate_limits::{
    IssuerRole, PermitBucket, RateChange, RateLimit, RateStatement, RequestRate, ReturnSchedule,
};
use test_case::test_case;

const WINDOW: Duration = Duration::from_secs(4);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Takes permits every five milliseconds for ten seconds after a pause, and returns the largest number in a window.
fn largest_window(rate: RequestRate, role: IssuerRole) -> usize {
    let begin = Instant::now();
    let mut bucket = PermitBucket::new(begin);
    let mut taken = Vec::new();
    for step in 0..2_000 {
        let now = begin + Duration::from_secs(60) + millis(step * 5);
        if bucket.take(rate, role, 0, now).is_ok() {
            taken.push(now);
        }
    }
    let counts = taken
        .iter()
        .map(|end| taken.iter().filter(|at| *at <= end && **at + WINDOW > *end).count());
    counts.max().unwrap_or_default()
}

/// Guards against an issuer and a substitute that send too much together: one and a half times the rate and five requests.
#[test_case(0; "none")]
#[test_case(50; "one in twenty seconds")]
#[test_case(1_000; "one a second")]
#[test_case(2_600; "not a whole number")]
#[test_case(10_000; "ten a second")]
#[test_case(60_000; "sixty a second")]
fn two_issuers_stay_below_what_endpoints_tolerate(milli: u64) {
    let rate = RequestRate(milli);
    let sum =
        largest_window(rate, IssuerRole::Issuer) + largest_window(rate, IssuerRole::Substitute);
    let allowed = 1.5 * rate.per_second() * WINDOW.as_secs_f64() + 5.0;
    assert!(sum as f64 <= allowed, "{sum} of {allowed}");
}

/// Guards against an endpoint that gets less than it takes though there is demand.
#[test]
fn issuer_hands_out_the_whole_rate() {
    let begin = Instant::now();
    let mut bucket = PermitBucket::new(begin);
    let take = |step: u64| {
        bucket.take(RequestRate(2_600), IssuerRole::Issuer, 0, begin + millis(step * 10)).is_ok()
    };
    assert_eq!((0..=1_000).map(take).filter(|is_taken| *is_taken).count(), 26);
}

/// Guards against an endpoint that would never be asked again whether it still limits its requests.
#[test]
fn rate_of_zero_is_tried_now_and_then() {
    let begin = Instant::now();
    let mut bucket = PermitBucket::new(begin);
    assert!(bucket.take(RequestRate(0), IssuerRole::Issuer, 0, begin).is_err());
    assert!(bucket.take(RequestRate(0), IssuerRole::Issuer, 0, begin + millis(10_000)).is_ok());
}

/// Guards against gateways that all ask again at the same moment.
#[test]
fn denied_gateways_return_one_after_another() {
    let now = Instant::now();
    let mut bucket = PermitBucket::new(now);
    let rate = RequestRate(2_000);
    let waits: Vec<_> = (0..8)
        .map(|_| bucket.take(rate, IssuerRole::Issuer, 0, now).unwrap_err().as_millis())
        .collect();
    assert_eq!(waits[..6], [500, 1_000, 1_500, 2_000, 2_500, 3_000]);
    // No turns are left: the others return at times of their own, not before the next permit.
    assert_ne!(waits[6], waits[7]);
    assert!(waits[6..].iter().all(|wait| (500..=3_000).contains(wait)), "{waits:?}");
}

/// Guards against permits that are lost because all gateways ask at the same moment, and nobody between.
#[test]
fn permits_of_a_low_rate_are_used() {
    let begin = Instant::now();
    let mut bucket = PermitBucket::new(begin);
    let rate = RequestRate(400);
    let mut next_asks = [begin; 6];
    let mut taken = 0;
    for step in 0..3_000 {
        let now = begin + millis(step * 10);
        for next_ask in next_asks.iter_mut().filter(|at| **at <= now) {
            match bucket.take(rate, IssuerRole::Issuer, 0, now) {
                Ok(()) => taken += 1,
                Err(wait) => *next_ask = now + wait,
            }
        }
    }
    assert!(taken >= 11, "{taken} of 12 in 30 s");
}

/// Guards against background requests that take the permits for which urgent ones wait, and against keeping these for ever.
#[test]
fn urgent_request_goes_first() {
    let begin = Instant::now();
    let mut bucket = PermitBucket::new(begin);
    let mut take = |rank: u32, at: u64| {
        bucket.take(RequestRate(1_000), IssuerRole::Issuer, rank, begin + millis(at)).is_ok()
    };
    assert!(!take(1, 500));
    assert!(!take(5, 1_100));
    assert!(take(1, 1_200));
    assert!(!take(1, 1_300));
    assert!(take(5, 4_000));
}

/// Guards against a limit that ends because of an answer to a call that is older than the limit, and against one that stays.
#[test]
fn only_a_later_call_ends_a_limit() {
    let begin = Instant::now();
    let at = |time: u64| begin + millis(time);
    let mut limit = RateLimit::default();
    let named = RateStatement::Limited(RequestRate(1_000));
    assert_eq!(limit.observe(named, at(0), at(100)), RateChange::Begins);
    assert_eq!(limit.observe(RateStatement::Unlimited, at(50), at(900)), RateChange::None);
    assert_eq!(limit.observe(RateStatement::Unreadable, at(200), at(901)), RateChange::None);
    assert_eq!(
        limit.observe(RateStatement::Limited(RequestRate(500)), at(0), at(902)),
        RateChange::Adjusted
    );
    assert_eq!(limit.observe(RateStatement::Unlimited, at(903), at(950)), RateChange::Ends);
    assert_eq!(limit.rate(), None);
}

/// Guards against an older report of another gateway that replaces what is known.
#[test]
fn older_report_changes_nothing() {
    let begin = Instant::now() + Duration::from_secs(10);
    let mut limit = RateLimit::default();
    assert_eq!(limit.apply(Some(RequestRate(1_000)), Some(begin)), RateChange::Begins);
    assert_eq!(limit.apply(None, Some(begin - millis(1))), RateChange::None);
    assert_eq!(limit.apply(None, None), RateChange::None);
    assert_eq!(limit.apply(None, Some(begin)), RateChange::Ends);
}

/// Guards against callers that all come back at once to a service that takes few requests.
#[test]
fn callers_return_at_the_rate_of_the_service() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let delays: Vec<_> =
        (0..6).map(|_| schedule.next_delay(now + millis(300), 2.0, now).as_millis()).collect();
    assert_eq!(delays, [300, 800, 1_300, 1_800, 2_300, 2_800]);
    assert_eq!(schedule.next_delay(now, 0.0, now), Duration::from_secs(4));
}
