//! How many tokens a process holds. Guards against budgets that are parked where nobody needs them, and against outages
//! that nobody has tokens for.

use std::time::Duration;

use bramleywind_gateway::funds::{
    Allowance, GrantInput, GrantSizing, HolderGrant, StandbyRelease, TokenRate, WorkingLimit,
};
use bramleywind_types::TokenCount;
use test_case::test_case;

fn input() -> GrantInput {
    GrantInput {
        prepaid: TokenCount(1_000_000),
        pool: TokenCount(600_000),
        unspent: TokenCount(0),
        waiting: TokenCount(0),
        rate: 5_000.0,
        others_rate: 25_000.0,
        others_unspent: TokenCount(0),
        members: 6,
        is_present: true,
        is_joining: false,
        is_leaving: false,
    }
}

fn held(input: &GrantInput) -> u64 {
    match GrantSizing::decide(input) {
        GrantSizing::Hold(tokens) => tokens.0,
        GrantSizing::Keep => panic!("nothing to change: {input:?}"),
    }
}

#[test]
fn grant_covers_an_outage() {
    assert!((50_000..=80_000).contains(&held(&input())), "{}", held(&input()));
}

#[test]
fn waiting_requests_come_before_a_surplus() {
    let short = GrantInput { pool: TokenCount(9_000), waiting: TokenCount(9_000), ..input() };
    assert_eq!(held(&short), 9_000);
}

#[test]
fn enough_is_left_alone() {
    let first = held(&input());
    let settled = GrantInput {
        unspent: TokenCount(first),
        others_unspent: TokenCount(first * 5),
        pool: TokenCount(600_000 - first * 6),
        ..input()
    };
    assert_eq!(GrantSizing::decide(&settled), GrantSizing::Keep);
}

#[test]
fn idle_surplus_goes_back() {
    let idle = GrantInput { unspent: TokenCount(190_000), rate: 0.0, ..input() };
    assert!(held(&idle) < 30_000, "{}", held(&idle));
}

#[test]
fn little_is_held_when_little_is_left() {
    let tail = GrantInput { pool: TokenCount(8_000), unspent: TokenCount(9_000), ..input() };
    assert!(held(&tail) < 5_000, "{}", held(&tail));
}

#[test]
fn leaving_process_holds_nothing() {
    let leaving = GrantInput { unspent: TokenCount(60_000), is_leaving: true, ..input() };
    assert_eq!(held(&leaving), 0);
}

/// The working tokens of the grants here.
const WORKING: u64 = 20_000;

fn release(standby: u64, rate: u64) -> StandbyRelease {
    StandbyRelease::new(grant(standby), allowance(WORKING, rate))
}

fn grant(standby: u64) -> HolderGrant {
    HolderGrant { total: TokenCount(WORKING + standby), ..HolderGrant::default() }
}

fn allowance(working: u64, rate: u64) -> Allowance {
    Allowance { working: TokenCount(working), use_rate: TokenRate(rate) }
}

#[test_case(0, 1_000 => true ; "at once")]
#[test_case(1_000, 2_000 => true ; "after a round")]
#[test_case(5_000, 6_000 => true ; "in an outage")]
#[test_case(60_000, 61_000 => true ; "for ever")]
fn successor_never_takes_less_for_spent_than_was_spendable(spent_ms: u64, judged_ms: u64) -> bool {
    let release = release(50_000, 5_000);
    let spendable = release.spendable(Duration::from_millis(spent_ms));
    spendable <= release.spent_at_most(Duration::from_millis(judged_ms))
}

/// The loss of all processes in an outage strands what is released and was not used: a day on which the outage lasted
/// 12 s left a workspace without a tenth of its prepaid total for the rest of it.
#[test]
fn outage_releases_little_more_than_the_use() {
    let outage = Duration::from_secs(10);
    let released = release(60_000, 1_000).spendable(outage).0 - WORKING;
    assert!(released <= 2 * 10_000, "{released} tokens released, 10,000 used");
}

/// A workspace near its end holds standby tokens for a second or two of its use: they must be there in an outage at once.
#[test]
fn outage_releases_the_last_tokens_as_they_are_needed() {
    let outage = Duration::from_millis(3_500);
    assert_eq!(release(10_000, 8_000).spendable(outage), TokenCount(WORKING + 10_000));
}

/// Callers of a workspace may all be with one gateway. Equal parts left it short in an outage while the others' lay idle.
#[test]
fn process_with_most_of_the_use_holds_most_of_the_budget() {
    let busy = held(&GrantInput { rate: 28_000.0, others_rate: 2_000.0, ..input() });
    assert!(busy >= 300_000, "{busy}");
    let idle = held(&GrantInput { rate: 400.0, others_rate: 30_000.0, ..input() });
    assert!((1..=30_000).contains(&idle), "{idle}");
}

/// While writes are in doubt, neither the old nor the new grant or allowance may be overspent.
#[test]
fn grant_in_doubt_releases_no_more_than_either() {
    let grants = [grant(50_000), grant(70_000)];
    let allowances = [allowance(WORKING, 100), allowance(WORKING / 2, 5_000)];
    for age in (0..40).map(Duration::from_secs) {
        let least =
            StandbyRelease::new(grants[0].least(grants[1]), allowances[0].least(allowances[1]));
        for (grant, allowance) in grants.iter().flat_map(|grant| allowances.map(|a| (*grant, a))) {
            let either = StandbyRelease::new(grant, allowance);
            assert!(least.spendable(age) <= either.spendable(age), "{either:?} at {age:?}");
        }
    }
}

#[test]
fn limit_in_doubt_is_the_smallest_that_may_be_in_force() {
    let mut limit = WorkingLimit::NOTHING;
    limit.send(allowance(100, 10));
    assert_eq!(limit.allowance(), allowance(0, 0));
    limit.confirm();
    assert_eq!(limit.allowance(), allowance(100, 10));
    // Two writes without an answer, then one that is certain.
    limit.send(allowance(50, 20));
    limit.send(allowance(200, 30));
    assert_eq!(limit.allowance(), allowance(50, 10));
    limit.confirm();
    assert_eq!(limit.allowance(), allowance(200, 30));
}

/// Near the end of a budget, processes took standby tokens, found the pool too small for any, and gave them back, a
/// hundred times a second.
#[test]
fn tokens_near_the_end_are_not_taken_and_returned_in_turns() {
    for pool in (10_000..80_000).step_by(500) {
        let before = GrantInput { pool: TokenCount(pool), ..input() };
        let GrantSizing::Hold(TokenCount(tokens)) = GrantSizing::decide(&before) else { continue };
        let after =
            GrantInput { pool: TokenCount(pool - tokens), unspent: TokenCount(tokens), ..before };
        assert_eq!(GrantSizing::decide(&after), GrantSizing::Keep, "{after:?}");
    }
}

/// A process that died before its first presence record took standby tokens with it: nobody could give them back.
#[test]
fn process_without_presence_holds_little() {
    let tokens = held(&GrantInput { is_present: false, ..input() });
    assert!((1..=15_000).contains(&tokens), "{tokens}");
}

/// The first callers of a day all come to some gateway first. It took two thirds of a budget for one request, the next one
/// two thirds of the rest, and the third found the pool empty.
#[test]
fn first_request_does_not_take_most_of_the_budget() {
    let first =
        GrantInput { rate: 1_400.0, others_rate: 0.0, waiting: TokenCount(5_700), ..input() };
    assert!(held(&first) <= 100_000, "{}", held(&first));
}
