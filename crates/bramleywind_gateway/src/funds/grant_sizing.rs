use bramleywind_types::TokenCount;

use super::{HolderGrant, TokenRate};

/// Seconds of a process's own use that its working tokens cover: longer than it takes until standby tokens are released
/// once the store is out of reach.
const WORKING_SECONDS: f64 = 2.5;

/// The part of what is left that the working tokens of all processes hold at most. The loss of all processes strands no
/// more than this part.
const WORKING_SHARE: f64 = 0.1;

/// The part of what is left that the working tokens of all processes hold at least, whether it was used lately or not.
const IDLE_SHARE: f64 = 0.02;

/// The part of what is left that the standby tokens of all processes hold, for outages of the store.
const STANDBY_SHARE: f64 = 0.6;

/// The part of an equal part that is left to a process without use, whose first callers may come.
const LEAST_SHARE: f64 = 0.2;

/// Seconds of a process's own use that its standby tokens cover at most: what the first processes hold beyond that is missed
/// by those whose callers come later.
const STANDBY_SECONDS: f64 = 15.0;

/// The part of what is left to a process that its standby tokens hold at least, for callers that come in an outage.
const LEAST_STANDBY_SHARE: f64 = 0.1;

/// Part of the wanted working tokens below which more are asked for.
const REFILL_PART: f64 = 0.5;

/// Part of the wanted working tokens below which more are asked for if a write is made for another budget anyway.
const JOIN_PART: f64 = 0.65;

/// The part of what is left that all processes together may hold when little is left.
const TAIL_SHARE: f64 = 0.1;

/// Seconds of a process's own use that a grant covers when little is left.
const TAIL_SECONDS: f64 = 1.0;

/// Part of the prepaid total below which little is left: what is parked with one process is missed by another.
const TAIL_PART: f64 = 0.05;

/// Part of the prepaid total below which no standby tokens are held.
const STANDBY_END_PART: f64 = 0.02;

/// Tokens are given back if there are this many times what is wanted.
const RETURN_FACTOR: f64 = 3.0;

/// Standby tokens are given back if there are this many times what is wanted. They shrink with what is left.
const STANDBY_RETURN_FACTOR: f64 = 1.5;

/// Part of the prepaid total that is not worth a write of its own.
const SMALL_PART: f64 = 0.000_5;

/// What decides how many unspent tokens a process holds of one budget.
#[derive(Debug, Clone, Copy)]
pub struct GrantInput {
    /// All tokens that the workspace may use.
    pub prepaid: TokenCount,
    /// Tokens that no process holds.
    pub pool: TokenCount,
    /// Working tokens that are neither spent nor reserved.
    pub available: TokenCount,
    /// Standby tokens.
    pub standby: TokenCount,
    /// Tokens that were spent beyond the working ones, out of standby.
    pub overdrawn: TokenCount,
    /// Tokens that waiting requests of this process need.
    pub waiting: TokenCount,
    /// The process's own use, in tokens a second.
    pub rate: f64,
    /// The other processes' use, in tokens a second, when their grants were written.
    pub others_rate: f64,
    /// The other processes' standby tokens.
    pub others_standby: TokenCount,
    /// Processes that may hold grants.
    pub members: usize,
    /// Whether the process has written its presence. Before that, no successor can give its standby tokens back.
    pub is_present: bool,
    /// Whether a write is made for another budget anyway.
    pub is_joining: bool,
    /// Whether the process is leaving: it holds nothing beyond what waits.
    pub is_leaving: bool,
}

/// How many unspent tokens to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantSizing {
    /// As many as now.
    Keep,
    /// This many unspent ones of each kind; more or fewer than now.
    Hold(HolderGrant),
}

impl GrantSizing {
    /// Decides from what is left of the budget and how it is used.
    pub fn decide(input: &GrantInput) -> Self {
        // All that this process can have: what it holds unspent, and what nobody holds.
        let own = (input.available.0 + input.standby.0).saturating_sub(input.overdrawn.0);
        let reachable = own + input.pool.0;
        let left = reachable as f64 + input.others_standby.0 as f64;
        let part = left * use_share(input);
        let surplus = wanted_working(input, left, part);
        let standby = wanted_standby(input, left, part);
        let working = (input.waiting.0.saturating_add(surplus)).min(reachable);
        let held = HolderGrant {
            working: TokenCount(working),
            standby: TokenCount(standby.min(reachable - working)),
            use_rate: TokenRate(input.rate as u64),
        };
        let (available, parked) = (input.available.0 as f64, input.standby.0 as f64);
        let refill_part = if input.is_joining { JOIN_PART } else { REFILL_PART };
        let is_short = input.overdrawn.0 > 0
            || input.waiting.0 > input.available.0 && working > input.available.0
            || available < surplus as f64 * refill_part && working > input.available.0
            || parked < standby as f64 * REFILL_PART && held.standby > input.standby;
        let least_excess = match input.is_leaving {
            true => 0.0,
            false => input.prepaid.0 as f64 * SMALL_PART,
        };
        let is_ample = available > working as f64 * RETURN_FACTOR
            && available - working as f64 > least_excess
            || parked > standby as f64 * STANDBY_RETURN_FACTOR
                && parked - standby as f64 > least_excess;
        if is_short || is_ample { Self::Hold(held) } else { Self::Keep }
    }
}

/// The part of the budget that is left to this process: its part of the use, since callers of one workspace may all be
/// with a few gateways.
fn use_share(input: &GrantInput) -> f64 {
    let equal = 1.0 / input.members.max(1) as f64;
    let total = input.rate + input.others_rate;
    if total > 0.0 { (input.rate / total).max(equal * LEAST_SHARE) } else { equal }
}

/// The working tokens that a process should hold unspent besides what waits. `left` is what is left of the budget, and
/// `part` what of it is left to this process.
fn wanted_working(input: &GrantInput, left: f64, part: f64) -> u64 {
    if input.is_leaving {
        return 0;
    }
    if left < input.prepaid.0 as f64 * TAIL_PART {
        return (input.rate * TAIL_SECONDS).min(part * TAIL_SHARE) as u64;
    }
    (input.rate * WORKING_SECONDS).max(part * IDLE_SHARE).min(part * WORKING_SHARE) as u64
}

/// The standby tokens that a process should hold. What is left decides, which does not depend on who holds it: a bound on
/// the pool alone would let processes take and return the same tokens in turns.
fn wanted_standby(input: &GrantInput, left: f64, part: f64) -> u64 {
    let is_worth = left >= input.prepaid.0 as f64 * STANDBY_END_PART;
    if !is_worth || !input.is_present || input.is_leaving {
        return 0;
    }
    let standby = (input.rate * STANDBY_SECONDS).max(part * LEAST_STANDBY_SHARE);
    standby.min(part * STANDBY_SHARE) as u64
}
