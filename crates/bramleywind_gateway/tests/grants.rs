//! How many tokens a process holds. Guards against budgets that are parked where nobody needs them, and against outages
//! that nobody has tokens for.

use std::time::Duration;

use bramleywind_gateway::funds::{GrantInput, GrantSizing, HolderGrant, StandbyRelease};
use bramleywind_types::TokenCount;
use test_case::test_case;

fn input() -> GrantInput {
    GrantInput {
        prepaid: TokenCount(1_000_000),
        pool: TokenCount(600_000),
        available: TokenCount(0),
        standby: TokenCount(0),
        overdrawn: TokenCount(0),
        waiting: TokenCount(0),
        rate: 5_000.0,
        members: 6,
        is_joining: false,
        is_leaving: false,
    }
}

fn held(input: &GrantInput) -> HolderGrant {
    match GrantSizing::decide(input) {
        GrantSizing::Hold(grant) => grant,
        GrantSizing::Keep => panic!("nothing to change: {input:?}"),
    }
}

#[test]
fn grant_covers_some_seconds_of_use_and_an_outage() {
    let grant = held(&input());
    assert!((10_000..=30_000).contains(&grant.working.0), "{grant:?}");
    assert!((40_000..=70_000).contains(&grant.standby.0), "{grant:?}");
}

#[test]
fn waiting_requests_come_before_a_surplus() {
    let short = GrantInput { pool: TokenCount(9_000), waiting: TokenCount(9_000), ..input() };
    assert_eq!(held(&short), HolderGrant { working: TokenCount(9_000), standby: TokenCount(0) });
}

#[test]
fn enough_is_left_alone() {
    let first = held(&input());
    let settled = GrantInput {
        available: first.working,
        standby: first.standby,
        pool: TokenCount(600_000 - first.total().0 * 6),
        ..input()
    };
    assert_eq!(GrantSizing::decide(&settled), GrantSizing::Keep);
}

#[test]
fn idle_surplus_goes_back() {
    let idle = GrantInput { available: TokenCount(90_000), rate: 0.0, ..input() };
    assert!(held(&idle).working < TokenCount(10_000));
}

#[test]
fn little_is_held_when_little_is_left() {
    let tail = GrantInput { pool: TokenCount(8_000), available: TokenCount(90_000), ..input() };
    let grant = held(&tail);
    assert!(grant.working < TokenCount(5_000) && grant.standby == TokenCount(0), "{grant:?}");
}

#[test]
fn leaving_process_holds_nothing() {
    let leaving = GrantInput {
        available: TokenCount(10_000),
        standby: TokenCount(50_000),
        is_leaving: true,
        ..input()
    };
    assert_eq!(held(&leaving), HolderGrant::default());
}

#[test]
fn spent_standby_is_written_down_at_once() {
    let overdrawn =
        GrantInput { standby: TokenCount(50_000), overdrawn: TokenCount(20_000), ..input() };
    assert!(matches!(GrantSizing::decide(&overdrawn), GrantSizing::Hold(_)));
}

#[test_case(0, 1_000 => true ; "at once")]
#[test_case(1_000, 2_000 => true ; "after a round")]
#[test_case(5_000, 6_000 => true ; "in an outage")]
#[test_case(60_000, 61_000 => true ; "for ever")]
fn successor_never_takes_less_for_spent_than_was_spendable(spent_ms: u64, judged_ms: u64) -> bool {
    let spendable = StandbyRelease.spendable(Duration::from_millis(spent_ms));
    spendable <= StandbyRelease.spent_at_most(Duration::from_millis(judged_ms))
}
