//! Checks how many tokens a process holds. Guards against tokens that are held by processes which do not need them, and
//! against processes without tokens in an outage of the store.

use std::time::Duration;

use bramleywind_gateway::funds::{
    GrantInput, GrantSizing, HoldPurpose, HolderGrant, StandbyRelease, TokenRate,
};
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
        granted_rate: TokenRate(5_000),
        others_rate: 25_000.0,
        others_standby: TokenCount(0),
        has_presence: true,
        is_batched: false,
        purpose: HoldPurpose::Lending,
    }
}

fn size_grant(input: &GrantInput) -> HolderGrant {
    match GrantSizing::decide(input) {
        GrantSizing::Hold(grant) => grant,
        GrantSizing::Keep => panic!("the grant would not change: {input:?}"),
    }
}

#[test]
fn grant_covers_some_seconds_of_use_and_an_outage() {
    let grant = size_grant(&input());
    assert!((10_000..=30_000).contains(&grant.working.0), "{grant:?}");
    assert!((40_000..=70_000).contains(&grant.standby.0), "{grant:?}");
}

#[test]
fn waiting_requests_take_precedence_over_spare_tokens() {
    let short = GrantInput { pool: TokenCount(9_000), waiting: TokenCount(9_000), ..input() };
    let grant = size_grant(&short);
    assert_eq!((grant.working, grant.standby), (TokenCount(9_000), TokenCount(0)));
}

#[test]
fn sufficient_grant_is_kept() {
    let first = size_grant(&input());
    let sufficient = GrantInput {
        available: first.working,
        standby: first.standby,
        others_standby: TokenCount(first.standby.0 * 5),
        pool: TokenCount(600_000 - first.total().0 * 6),
        ..input()
    };
    assert_eq!(GrantSizing::decide(&sufficient), GrantSizing::Keep);
}

#[test]
fn idle_process_returns_unused_tokens() {
    let idle = GrantInput { available: TokenCount(90_000), rate: 0.0, ..input() };
    assert!(size_grant(&idle).working < TokenCount(10_000));
}

#[test]
fn little_is_held_when_little_is_left() {
    let low_budget =
        GrantInput { pool: TokenCount(8_000), available: TokenCount(9_000), ..input() };
    let grant = size_grant(&low_budget);
    assert!(grant.working < TokenCount(5_000) && grant.standby == TokenCount(0), "{grant:?}");
}

#[test]
fn leaving_process_holds_nothing() {
    let leaving = GrantInput {
        available: TokenCount(10_000),
        standby: TokenCount(50_000),
        purpose: HoldPurpose::Leaving,
        ..input()
    };
    assert_eq!(size_grant(&leaving).total(), TokenCount(0));
}

#[test]
fn spent_standby_changes_the_grant_at_once() {
    let overdrawn =
        GrantInput { standby: TokenCount(50_000), overdrawn: TokenCount(20_000), ..input() };
    assert!(matches!(GrantSizing::decide(&overdrawn), GrantSizing::Hold(_)));
}

#[test_case(0, 1_000 => true ; "at once")]
#[test_case(1_000, 2_000 => true ; "after one interval")]
#[test_case(5_000, 6_000 => true ; "in an outage")]
#[test_case(60_000, 61_000 => true ; "after a minute")]
fn successor_counts_all_spendable_tokens_as_spent(spent_ms: u64, judged_ms: u64) -> bool {
    let release = StandbyRelease::new(size_grant(&input()));
    let spendable = release.spendable(Duration::from_millis(spent_ms));
    spendable <= release.max_spent(Duration::from_millis(judged_ms))
}

/// A loss of all processes in an outage strands the tokens that were released but not used. After an outage of 12 s, a
/// workspace was without a tenth of its prepaid total for the rest of the day.
#[test]
fn outage_releases_little_more_than_the_usage() {
    let input = GrantInput { rate: 1_000.0, others_rate: 5_000.0, ..input() };
    let outage = Duration::from_secs(10);
    let released = StandbyRelease::new(size_grant(&input)).spendable(outage).0 as f64;
    let used = input.rate * outage.as_secs_f64();
    assert!(released <= used * 2.0, "{released} tokens released, {used} used");
}

/// When a budget is nearly exhausted, its standby tokens cover only a second or two of the usage, so an outage must
/// release them at once.
#[test]
fn outage_releases_the_last_tokens_as_they_are_needed() {
    let near_end = GrantInput { pool: TokenCount(60_000), rate: 8_000.0, ..input() };
    let grant = size_grant(&GrantInput { others_rate: 40_000.0, ..near_end });
    let outage = Duration::from_millis(3_500);
    assert_eq!(StandbyRelease::new(grant).spendable(outage), grant.standby, "{grant:?}");
}

/// All callers of a workspace may be connected to one gateway. With equal shares, that gateway ran short in an outage
/// while the tokens of the others were idle.
#[test]
fn process_with_most_usage_holds_most_standby_tokens() {
    let busy = size_grant(&GrantInput { rate: 28_000.0, others_rate: 2_000.0, ..input() });
    assert!(busy.standby >= TokenCount(300_000), "{busy:?}");
    let idle = size_grant(&GrantInput { rate: 400.0, others_rate: 30_000.0, ..input() });
    assert!((1..=30_000).contains(&idle.standby.0), "{idle:?}");
}

/// While the outcome of a write is unknown, neither the old grant nor the new one may be overspent.
#[test]
fn grant_in_doubt_releases_no_more_than_either() {
    let fast = size_grant(&input());
    let slow = HolderGrant { use_rate: TokenRate(100), standby: TokenCount(70_000), ..fast };
    for age in (0..40).map(Duration::from_secs) {
        let released = |grant| StandbyRelease::new(grant).spendable(age);
        assert!(released(fast.component_min(slow)) <= released(fast).min(released(slow)));
    }
}

/// When a budget was nearly exhausted, processes took standby tokens, found the pool too small for them, and returned
/// them, a hundred times per second.
#[test]
fn standby_is_not_taken_and_returned_in_turns_near_exhaustion() {
    for pool in (10_000..80_000).step_by(500) {
        let before = GrantInput { pool: TokenCount(pool), ..input() };
        let grant = size_grant(&before);
        let after = GrantInput {
            pool: TokenCount(pool - grant.total().0),
            available: grant.working,
            standby: grant.standby,
            ..before
        };
        assert_eq!(GrantSizing::decide(&after), GrantSizing::Keep, "{after:?}");
    }
}

/// The standby tokens of a process that died before its first presence record were lost: no other process could return
/// them.
#[test]
fn process_without_presence_holds_no_standby() {
    let grant = size_grant(&GrantInput { has_presence: false, ..input() });
    assert!(grant.working > TokenCount(0) && grant.standby == TokenCount(0), "{grant:?}");
}

/// The gateway with the first request of a day took two thirds of the budget for it, the next one two thirds of the
/// rest, and the third found the pool empty.
#[test]
fn first_request_does_not_take_most_of_the_budget() {
    let first =
        GrantInput { rate: 1_400.0, others_rate: 0.0, waiting: TokenCount(5_700), ..input() };
    assert!(size_grant(&first).total() <= TokenCount(100_000), "{:?}", size_grant(&first));
}

/// In an outage of the store, the presence record grew old, and the process planned to return the standby tokens that it
/// needed.
#[test]
fn standby_is_kept_while_the_presence_record_cannot_be_written() {
    let held = size_grant(&input());
    let in_outage = GrantInput {
        available: held.working,
        standby: held.standby,
        has_presence: false,
        ..input()
    };
    assert_eq!(GrantSizing::decide(&in_outage), GrantSizing::Keep);
}

/// A gateway that had been primary returned its grant bit by bit, a write for each request, while it borrowed the same
/// tokens again. Its writes collided with those of the new primary.
#[test]
fn earlier_lender_uses_up_its_grant_instead_of_returning_it_bit_by_bit() {
    let purpose = HoldPurpose::Borrowing(TokenCount(2_000));
    let borrowing = GrantInput { available: TokenCount(2_400), purpose, ..input() };
    assert_eq!(GrantSizing::decide(&borrowing), GrantSizing::Keep);
    let excess =
        GrantInput { available: TokenCount(60_000), standby: TokenCount(90_000), ..borrowing };
    let grant = size_grant(&excess);
    assert_eq!((grant.working, grant.standby), (TokenCount(2_000), TokenCount(0)));
}
