//! Checks the member registry and the fleet clock. Guards against callers that are sent to gateways which are gone, and
//! against a takeover that trusts a clock that has jumped.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::members::{
    FleetClock, MemberRecord, MemberRegistry, ProcessorCapacity, RegistryReaders,
};
use bramleywind_types::IncarnationId;
use test_case::test_case;

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

/// Builds the list of a fleet with instances of unlike capacity in several data centres.
fn large_fleet(count: u16, data_centres: u16) -> Vec<MemberRecord> {
    (1..=count)
        .map(|number| {
            let cores = [0.09, 0.25, 0.5][usize::from(number % 3)];
            MemberRecord {
                data_centre: format!("dc-{}", number % data_centres).parse().unwrap(),
                capacity: ProcessorCapacity::from_cores(cores),
                ..member(number)
            }
        })
        .collect()
}

/// Returns what the gateway of a member of the fleet takes for the readers of the registry.
fn readers_of(number: u16, fleet: &[MemberRecord]) -> RegistryReaders {
    let own = fleet.iter().find(|member| member.caller_address.port() == number).unwrap();
    let mut registry = MemberRegistry::new(own.clone());
    registry.update(fleet.to_vec(), Instant::now());
    registry.registry_readers()
}

/// Calls to the store must not grow with the fleet, and each gateway needs a reader near by and one more.
#[test_case(78, 3; "medium")]
#[test_case(295, 5; "large")]
#[test_case(380, 5; "target size")]
fn few_gateways_read_the_registry_for_a_large_fleet(count: u16, data_centres: u16) {
    let fleet = large_fleet(count, data_centres);
    let all: Vec<_> = (1..=count).map(|number| readers_of(number, &fleet)).collect();
    let readers = all.iter().filter(|readers| readers.is_own).count();
    assert_eq!(readers, usize::from(data_centres) * 2);
    let mut askers = std::collections::BTreeMap::<_, u16>::new();
    for readers in all.iter().filter(|readers| !readers.is_own) {
        assert_eq!(readers.others.len(), usize::from(data_centres) * 2);
        *askers.entry(readers.others[0]).or_default() += 1;
    }
    let most = askers.values().max().copied().unwrap();
    assert!(most <= count / data_centres, "{askers:?}");
}

/// In a small fleet, or before a process knows the others, nobody reads for it.
#[test]
fn small_fleet_and_new_process_read_the_registry_themselves() {
    let fleet = large_fleet(12, 3);
    assert!((1..=12).all(|number| readers_of(number, &fleet).is_own));
    assert_eq!(readers_of(1, &fleet).others.len(), 11);
    let registry = MemberRegistry::new(member(1));
    assert!(registry.registry_readers().is_own);
}

/// A stopping gateway may end at any moment, so others must not be left with it.
#[test]
fn leaving_gateway_reads_for_nobody() {
    let fleet = large_fleet(78, 3);
    let number = (1..=78).find(|number| readers_of(*number, &fleet).is_own).unwrap();
    let own = fleet.iter().find(|member| member.caller_address.port() == number).unwrap();
    let mut registry = MemberRegistry::new(own.clone());
    registry.update(fleet.clone(), Instant::now());
    registry.leave(Instant::now());
    assert!(!registry.registry_readers().others.contains(&own.peer_address));
}

/// A process that is missing from the list took the retries of the whole fleet for itself, and six processes took six times as many.
#[test]
fn process_that_is_not_listed_takes_no_larger_share() {
    let start = Instant::now();
    let mut registry = MemberRegistry::new(member(1));
    assert_eq!(registry.share_count(), None);
    registry.update(members(2..=6), start);
    assert_eq!(registry.share_count(), None);
    registry.update(members(1..=6), start);
    assert_eq!(registry.share_count(), Some(6));
    for second in 1..120 {
        registry.update(Vec::new(), start + Duration::from_secs(second));
        assert_eq!(registry.share_count(), Some(6), "after {second} s");
    }
}

/// A process whose list shrinks must not take the shares of others that may only be missing from it.
#[test]
fn share_grows_after_the_window_in_which_retries_are_counted() {
    let start = Instant::now();
    let mut registry = MemberRegistry::new(member(1));
    registry.update(members(1..=6), start);
    for second in 1..=20 {
        registry.update(members(1..=4), start + Duration::from_secs(second));
        assert_eq!(registry.share_count(), Some(6), "after {second} s");
    }
    registry.update(members(1..=4), start + Duration::from_secs(21));
    assert_eq!(registry.share_count(), Some(4));
    registry.update(members(1..=5), start + Duration::from_secs(22));
    assert_eq!(registry.share_count(), Some(5));
}

/// The record of the process that ran on the instance before does not show that this one is listed.
#[test]
fn record_of_an_earlier_process_is_not_the_own_one() {
    let mut registry = MemberRegistry::new(member(1));
    let earlier = MemberRecord { incarnation: IncarnationId::from_number(99), ..member(1) };
    registry.update(vec![earlier, member(2)], Instant::now());
    assert_eq!(registry.share_count(), None);
}
