//! Checks prepaid budgets under process crashes, machines lost for good, partitions, store outages, lost answers and late writes. Guards against workspaces
//! that spend more than they prepaid.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "budget_model/world.rs"]
mod world;

use std::time::Duration;

use test_case::test_case;

use world::{PREPAID, TakeoverRule, World};

/// Enough steps to spend the whole budget several times if grants did not limit the spending.
const STEPS: usize = 12_000;

/// The number of steps between two checks.
const CHECK_STEPS: usize = 25;

/// Runs the model until it ends or a token can be spent twice. Returns the tokens that were spent, and whether the store counts all of
/// them.
fn run(seed: u64, rule: TakeoverRule) -> (u64, bool) {
    let mut world = World::new(seed, rule);
    for step in 0..STEPS {
        world.step();
        // A token that can be spent twice stays so.
        let is_checked = step % CHECK_STEPS == 0 || step + 1 == STEPS;
        if is_checked && (world.spent() > PREPAID || !world.counts_all_taken()) {
            return (world.spent(), false);
        }
    }
    (world.spent(), true)
}

#[test_case(0; "seeds from 0")]
#[test_case(100; "seeds from 100")]
#[test_case(200; "seeds from 200")]
#[test_case(300; "seeds from 300")]
fn spend_stays_within_the_prepaid_total(first_seed: u64) {
    for seed in first_seed..first_seed + 100 {
        let (spent, is_sound) = run(seed, TakeoverRule::Production);
        assert!(is_sound, "seed {seed}: {spent} tokens of {PREPAID} spent, some twice");
    }
}

/// Verifies that the model detects the faults that it checks for: tokens that were spent are returned.
#[test_case(TakeoverRule::IgnoresAge; "age of the presence record")]
#[test_case(TakeoverRule::IgnoresCeilings; "ceilings of the witness")]
#[test_case(TakeoverRule::LeavesRecordOpen; "presence record of a live process")]
fn model_detects_a_takeover_that_ignores(rule: TakeoverRule) {
    assert!((0..300).any(|seed| !run(seed, rule).1));
}

/// The prepaid total of the workspace whose lender ends: enough for all runs.
const LARGE_PREPAID: u64 = 4_000_000;

/// The part of a prepaid total that may be out of reach: a workspace that has used more than the rest is refused for good reason.
const MAX_STRANDED_SHARE: f64 = 0.03;

/// How long a machine is without power.
const DOWN_TIME: Duration = Duration::from_millis(3_500);

/// The time between two losses, in which the tokens of the ended process are returned.
const LOSS_INTERVAL: Duration = Duration::from_secs(4);

/// Returns the tokens that are out of reach after a number of losses, at most over some seeds.
fn max_stranded(losses: usize, down: Option<Duration>) -> u64 {
    let stranded = (0..10).map(|seed| {
        let mut world = World::calm(seed, LARGE_PREPAID);
        for _ in 0..losses {
            world.run_for(LOSS_INTERVAL);
            world.end_lender(down);
        }
        world.run_for(LOSS_INTERVAL);
        assert!(world.counts_all_taken());
        world.stranded()
    });
    stranded.max().unwrap()
}

/// Each machine that lost power took unspent tokens out of the budgets that it drew for, until nothing was left to the workspace.
#[test_case(1, Some(DOWN_TIME); "one that comes back")]
#[test_case(6, Some(DOWN_TIME); "six that come back")]
#[test_case(18, Some(DOWN_TIME); "eighteen that come back")]
#[test_case(1, None; "one for good")]
#[test_case(2, None; "two for good")]
#[test_case(6, None; "six for good")]
#[test_case(18, None; "eighteen for good")]
fn losses_strand_few_tokens(losses: usize, down: Option<Duration>) {
    let stranded = max_stranded(losses, down);
    let allowed = LARGE_PREPAID as f64 * MAX_STRANDED_SHARE;
    assert!(stranded as f64 <= allowed, "{stranded} of {LARGE_PREPAID} tokens");
}

/// All machines lost power, and the one that drew for the others did not come back.
#[test]
fn loss_of_all_strands_few_tokens() {
    for seed in 0..10 {
        let mut world = World::calm(seed, LARGE_PREPAID);
        world.run_for(LOSS_INTERVAL);
        world.end_all(Duration::from_secs(1));
        world.run_for(2 * LOSS_INTERVAL);
        let allowed = LARGE_PREPAID as f64 * MAX_STRANDED_SHARE;
        assert!(world.counts_all_taken(), "seed {seed}");
        assert!(world.stranded() as f64 <= allowed, "seed {seed}: {} tokens", world.stranded());
    }
}
