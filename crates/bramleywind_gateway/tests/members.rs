//! Checks the member registry and the fleet clock. Guards against callers that are sent to gateways which are gone, and
//! against a takeover that trusts a clock that has jumped.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::members::{FleetClock, MemberRecord, MemberRegistry};
use bramleywind_types::IncarnationId;

fn member(number: u16) -> MemberRecord {
    MemberRecord {
        instance: format!("front-{number}").parse().unwrap(),
        incarnation: IncarnationId::from_number(u64::from(number)),
        data_centre: "north".parse().unwrap(),
        caller_address: ([10, 0, 0, 1], number).into(),
        peer_address: ([10, 0, 0, 2], number).into(),
    }
}

fn members(numbers: std::ops::RangeInclusive<u16>) -> Vec<MemberRecord> {
    numbers.map(member).collect()
}

#[test]
fn single_member_that_vanishes_is_dropped_at_once() {
    let now = Instant::now();
    let mut registry = MemberRegistry::new(member(1));
    assert!(registry.update(members(1..=6), now));
    assert!(registry.update(members(1..=5), now));
    assert_eq!(registry.count(), 5);
}

#[test]
fn members_that_vanish_together_are_kept_for_a_while() {
    let now = Instant::now();
    let mut registry = MemberRegistry::new(member(1));
    registry.update(members(1..=6), now);
    assert!(!registry.update(members(1..=1), now + Duration::from_secs(1)));
    assert_eq!(registry.entries().len(), 6);
    assert!(registry.update(members(1..=1), now + Duration::from_secs(5)));
    assert_eq!(registry.entries().len(), 1);
}

#[test]
fn leaving_gateway_does_not_name_itself() {
    let mut registry = MemberRegistry::new(member(1));
    registry.update(members(1..=2), Instant::now());
    registry.leave();
    assert_eq!(registry.entries(), vec![member(2).caller_address]);
}

#[test]
fn last_gateway_names_itself_though_it_leaves() {
    let mut registry = MemberRegistry::new(member(1));
    registry.leave();
    assert_eq!(registry.entries(), vec![member(1).caller_address]);
}

#[test]
fn two_clocks_are_too_few() {
    let clock = FleetClock::default();
    assert!(!clock.compare(&mut [1_000, 1_000], 0, 0));
    assert_eq!(clock.now(0), None);
}

#[test]
fn minority_of_clocks_that_jumped_is_outvoted() {
    let clock = FleetClock::default();
    assert!(clock.compare(&mut [3_400, 1_010, 1_000, 990, 3_400], 95, 100));
    assert_eq!(clock.now(100), Some(1_010));
}

/// A process that is paused between the answers and the comparison would take an old time for the current one, and
/// judge its predecessor's presence record younger than it is. Tokens that were spent would be returned.
#[test]
fn outdated_times_are_not_trusted() {
    let clock = FleetClock::default();
    assert!(!clock.compare(&mut [1_000, 1_000, 1_000], 100, 5_100));
    assert_eq!(clock.now(5_100), None);
}

/// The time after a process has started must not count as time in which its predecessor spent tokens, for example in an
/// outage of the store that began before the start. All standby tokens of a day that ended that way were lost.
#[test]
fn time_after_the_start_does_not_count_toward_the_record_age() {
    let clock = FleetClock::default();
    assert!(clock.compare(&mut [60_000, 60_000, 60_000], 9_000, 9_000));
    let age = clock.age_at(51_000, 1_000, 9_000);
    assert_eq!(age, Some(Duration::from_secs(1)));
}
