//! Checks the member registry and the fleet clock. Guards against callers that are sent to gateways which are gone, and
//! against a takeover that trusts a clock that has jumped.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::members::{FleetClock, MemberRecord, MemberRegistry, ProcessorCapacity};
use bramleywind_types::IncarnationId;

fn member(number: u16) -> MemberRecord {
    MemberRecord {
        instance: format!("front-{number}").parse().unwrap(),
        incarnation: IncarnationId::from_number(u64::from(number)),
        data_centre: "north".parse().unwrap(),
        caller_address: ([10, 0, 0, 1], number).into(),
        peer_address: ([10, 0, 0, 2], number).into(),
        capacity: ProcessorCapacity::from_cores(0.25),
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
    registry.leave(Instant::now());
    assert_eq!(registry.entries(), vec![member(2).caller_address]);
}

#[test]
fn last_gateway_names_itself_though_it_leaves() {
    let mut registry = MemberRegistry::new(member(1));
    registry.leave(Instant::now());
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

/// Returns a fleet of 60 gateways in three data centres, of which every tenth is five times as large.
fn unlike_members() -> Vec<MemberRecord> {
    let resize = |(index, member): (usize, MemberRecord)| MemberRecord {
        data_centre: ["north", "east", "west"][index % 3].parse().unwrap(),
        capacity: ProcessorCapacity::from_cores(if index % 10 == 0 { 0.5 } else { 0.1 }),
        ..member
    };
    members(1..=60).into_iter().enumerate().map(resize).collect()
}

/// Callers spread over all gateways of a large fleet met small ones as often as large ones, and each of them saw too few
/// requests to know the endpoints.
#[test]
fn callers_of_a_large_fleet_are_sent_to_its_largest_gateways() {
    let listed = unlike_members();
    let mut registry = MemberRegistry::new(listed[1].clone());
    registry.update(listed.clone(), Instant::now());
    let entries = registry.entries();
    assert_eq!(entries.len(), 12);
    let large = listed.iter().filter(|member| member.capacity.0 == 500);
    for member in large {
        assert!(entries.contains(&member.caller_address), "{}", member.instance);
    }
}

#[test]
fn all_gateways_agree_on_the_entries_and_on_the_primary() {
    let listed = unlike_members();
    let registries: Vec<_> = listed
        .iter()
        .map(|own| {
            let mut registry = MemberRegistry::new(own.clone());
            registry.update(listed.clone(), Instant::now());
            registry
        })
        .collect();
    let sorted = |registry: &MemberRegistry| {
        let mut entries = registry.entries();
        entries.sort_unstable();
        entries
    };
    assert!(registries.iter().all(|registry| sorted(registry) == sorted(&registries[0])));
    for workspace in ["menders", "guides", "ferries"] {
        let workspace = workspace.parse().unwrap();
        let primaries: Vec<_> =
            registries.iter().filter(|registry| registry.is_primary(&workspace)).collect();
        assert_eq!(primaries.len(), 1);
        let primary = primaries[0].own();
        assert!(registries[0].entries().contains(&primary.caller_address));
        let others = registries.iter().filter(|registry| registry.own() != primary);
        for other in others {
            assert_eq!(other.lenders(&workspace, 1), vec![primary.peer_address]);
        }
    }
}

/// A gateway that is not in the member list has not heard of the others, so it may not take over their budgets.
#[test]
fn gateway_outside_the_member_list_is_no_primary() {
    let workspace = "menders".parse().unwrap();
    let mut registry = MemberRegistry::new(member(1));
    assert!(!registry.is_primary(&workspace));
    registry.update(Vec::new(), Instant::now());
    assert!(!registry.is_primary(&workspace));
    registry.update(members(1..=1), Instant::now());
    assert!(registry.is_primary(&workspace));
    registry.leave(Instant::now());
    assert!(!registry.is_primary(&workspace));
}
