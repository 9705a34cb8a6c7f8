//! How many tokens a process holds. Guards against budgets that are parked where nobody needs them, and against outages
//! that nobody has tokens for.

use std::time::Duration;

use bramleywind_gateway::funds::{GrantInput, GrantSizing, HolderGrant, StandbyRelease, TokenRate};
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
        others_rate: 25_000.0,
        others_standby: TokenCount(0),
        members: 6,
        is_present: true,
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
    let grant = held(&short);
    assert_eq!((grant.working, grant.standby), (TokenCount(9_000), TokenCount(0)));
}

#[test]
fn enough_is_left_alone() {
    let first = held(&input());
    let settled = GrantInput {
        available: first.working,
        standby: first.standby,
        others_standby: TokenCount(first.standby.0 * 5),
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
    let tail = GrantInput { pool: TokenCount(8_000), available: TokenCount(9_000), ..input() };
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
    assert_eq!(held(&leaving).total(), TokenCount(0));
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
    let release = StandbyRelease::new(held(&input()));
    let spendable = release.spendable(Duration::from_millis(spent_ms));
    spendable <= release.spent_at_most(Duration::from_millis(judged_ms))
}

/// The loss of all processes in an outage strands what is released and was not used: a day on which the outage lasted
/// 12 s left a workspace without a tenth of its prepaid total for the rest of it.
#[test]
fn outage_releases_little_more_than_the_use() {
    let input = GrantInput { rate: 1_000.0, others_rate: 5_000.0, ..input() };
    let outage = Duration::from_secs(10);
    let released = StandbyRelease::new(held(&input)).spendable(outage).0 as f64;
    let used = input.rate * outage.as_secs_f64();
    assert!(released <= used * 2.0, "{released} tokens released, {used} used");
}

/// A workspace near its end holds standby tokens for a second or two of its use: they must be there in an outage at once.
#[test]
fn outage_releases_the_last_tokens_as_they_are_needed() {
    let near_end = GrantInput { pool: TokenCount(60_000), rate: 8_000.0, ..input() };
    let grant = held(&GrantInput { others_rate: 40_000.0, ..near_end });
    let outage = Duration::from_millis(3_500);
    assert_eq!(StandbyRelease::new(grant).spendable(outage), grant.standby, "{grant:?}");
}

/// Callers of a workspace may all be with one gateway. Equal parts left it short in an outage while the others' lay idle.
#[test]
fn process_with_most_of_the_use_holds_most_of_the_standby() {
    let busy = held(&GrantInput { rate: 28_000.0, others_rate: 2_000.0, ..input() });
    assert!(busy.standby >= TokenCount(300_000), "{busy:?}");
    let idle = held(&GrantInput { rate: 400.0, others_rate: 30_000.0, ..input() });
    assert!((1..=30_000).contains(&idle.standby.0), "{idle:?}");
}

/// While a write is in doubt, neither the old grant nor the new one may be overspent.
#[test]
fn grant_in_doubt_releases_no_more_than_either() {
    let fast = held(&input());
    let slow = HolderGrant { use_rate: TokenRate(100), standby: TokenCount(70_000), ..fast };
    for age in (0..40).map(Duration::from_secs) {
        let released = |grant| StandbyRelease::new(grant).spendable(age);
        assert!(released(fast.least(slow)) <= released(fast).min(released(slow)));
    }
}

/// Near the end of a budget, processes took standby tokens, found the pool too small for any, and gave them back, a
/// hundred times a second.
#[test]
fn standby_near_the_end_is_not_taken_and_returned_in_turns() {
    for pool in (10_000..80_000).step_by(500) {
        let before = GrantInput { pool: TokenCount(pool), ..input() };
        let grant = held(&before);
        let after = GrantInput {
            pool: TokenCount(pool - grant.total().0),
            available: grant.working,
            standby: grant.standby,
            ..before
        };
        assert_eq!(GrantSizing::decide(&after), GrantSizing::Keep, "{after:?}");
    }
}

/// A process that died before its first presence record took standby tokens with it: nobody could give them back.
#[test]
fn process_without_presence_holds_no_standby() {
    let grant = held(&GrantInput { is_present: false, ..input() });
    assert!(grant.working > TokenCount(0) && grant.standby == TokenCount(0), "{grant:?}");
}

/// The first callers of a day all come to some gateway first. It took two thirds of a budget for one request, the next one
/// two thirds of the rest, and the third found the pool empty.
#[test]
fn first_request_does_not_take_most_of_the_budget() {
    let first =
        GrantInput { rate: 1_400.0, others_rate: 0.0, waiting: TokenCount(5_700), ..input() };
    assert!(held(&first).total() <= TokenCount(100_000), "{:?}", held(&first));
}
