use bramleywind_types::TokenCount;

/// Seconds of a process's own use that its working limit leaves unspent: longer than it takes until standby tokens are
/// released once the store is out of reach.
const WORKING_SECONDS: f64 = 2.0;

/// The part of what is left to a process that its working limit leaves unspent at most. The loss of all processes strands
/// no more than this part.
const WORKING_SHARE: f64 = 0.1;

/// The part of what is left to a process that its working limit leaves unspent at least, whether it was used lately or not.
const IDLE_SHARE: f64 = 0.02;

/// The part of what is left to a process that it holds, for outages of the store.
const HELD_SHARE: f64 = 0.65;

/// Seconds of a process's own use that it holds at most, for outages of the store: what the first processes hold beyond that
/// is missed by those whose callers come later.
const HELD_SECONDS: f64 = 15.0;

/// The part of what is left to a process that it holds at least, for callers that come in an outage.
const LEAST_HELD_SHARE: f64 = 0.1;

/// Part of the wanted tokens below which more are asked for.
const REFILL_PART: f64 = 0.5;

/// Part of the wanted tokens below which more are asked for if a write is made for another budget anyway.
const JOIN_PART: f64 = 0.65;

/// Seconds of a process's own use that a grant covers when little is left.
const TAIL_SECONDS: f64 = 1.0;

/// The part of what is left to a process that it holds when little is left: what is parked with one process is missed by
/// another.
const TAIL_SHARE: f64 = 0.1;

/// Part of the prepaid total below which little is left.
const TAIL_PART: f64 = 0.02;

/// Tokens are given back if there are this many times what is wanted. Grants shrink with what is left.
const RETURN_FACTOR: f64 = 1.5;

/// Part of the prepaid total that is not worth a write of its own.
const SMALL_PART: f64 = 0.000_5;

/// The part of an equal part that is left to a process without use, whose first callers may come.
const LEAST_SHARE: f64 = 0.2;

/// What decides how many unspent tokens a process holds of one budget.
#[derive(Debug, Clone, Copy)]
pub struct GrantInput {
    /// All tokens that the workspace may use.
    pub prepaid: TokenCount,
    /// Tokens that no process holds.
    pub pool: TokenCount,
    /// Tokens that this process holds and that are neither spent nor reserved.
    pub unspent: TokenCount,
    /// Tokens that waiting requests of this process need.
    pub waiting: TokenCount,
    /// The process's own use, in tokens a second.
    pub rate: f64,
    /// The other processes' use, in tokens a second, when their grants were written.
    pub others_rate: f64,
    /// About what the other processes hold unspent.
    pub others_unspent: TokenCount,
    /// Processes that may hold grants.
    pub members: usize,
    /// Whether the process has written its presence. Before that, no successor can give anything back.
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
    /// This many; more or fewer than now.
    Hold(TokenCount),
}

impl GrantSizing {
    /// Decides from what is left of the budget and how it is used.
    pub fn decide(input: &GrantInput) -> Self {
        let (unspent, waiting) = (input.unspent.0 as f64, input.waiting.0 as f64);
        // All that this process can have: what it holds, and what nobody holds.
        let reachable = unspent + input.pool.0 as f64;
        let surplus = wanted_surplus(input);
        let held = (waiting + surplus).min(reachable).floor();
        let small = input.prepaid.0 as f64 * SMALL_PART;
        let refill_part = if input.is_joining { JOIN_PART } else { REFILL_PART };
        let is_short = held > unspent
            && (waiting > unspent || unspent < surplus * refill_part && held - unspent > small);
        let least_excess = if input.is_leaving { 0.0 } else { small };
        let is_ample = unspent > held * RETURN_FACTOR && unspent - held > least_excess;
        if is_short || is_ample { Self::Hold(TokenCount(held as u64)) } else { Self::Keep }
    }
}

/// The unspent tokens that a process's working limit should leave it, besides what waits.
pub(super) fn wanted_working(input: &GrantInput) -> TokenCount {
    let part = part_of_left(input);
    let tokens = (input.rate * WORKING_SECONDS).max(part * IDLE_SHARE).min(part * WORKING_SHARE);
    TokenCount(tokens as u64)
}

/// The unspent tokens that a process should hold besides what waits.
fn wanted_surplus(input: &GrantInput) -> f64 {
    if input.is_leaving {
        return 0.0;
    }
    let part = part_of_left(input);
    if left(input) < input.prepaid.0 as f64 * TAIL_PART {
        return (input.rate * TAIL_SECONDS).min(part * TAIL_SHARE);
    }
    if !input.is_present {
        return wanted_working(input).0 as f64;
    }
    (input.rate * HELD_SECONDS).max(part * LEAST_HELD_SHARE).min(part * HELD_SHARE)
}

/// What is left of the budget, whoever holds it. A bound on the pool alone would let processes take and return the same
/// tokens in turns.
fn left(input: &GrantInput) -> f64 {
    input.unspent.0 as f64 + input.pool.0 as f64 + input.others_unspent.0 as f64
}

/// The part of what is left that is left to this process: its part of the use, since callers of one workspace may all be with
/// a few gateways.
fn part_of_left(input: &GrantInput) -> f64 {
    let equal = 1.0 / input.members.max(1) as f64;
    let total = input.rate + input.others_rate;
    let share = if total > 0.0 { (input.rate / total).max(equal * LEAST_SHARE) } else { equal };
    left(input) * share
}
