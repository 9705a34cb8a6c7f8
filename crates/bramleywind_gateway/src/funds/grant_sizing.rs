use bramleywind_types::TokenCount;

use super::{HolderGrant, TokenRate};

/// Seconds of its usage that a process's working tokens cover. This is longer than the time until standby tokens are
/// released once the store is unreachable.
const WORKING_SECONDS: f64 = 2.5;

/// The maximum share of the remaining budget that all processes together hold as working tokens. The loss of all
/// processes strands no more than this share.
const MAX_WORKING_SHARE: f64 = 0.1;

/// The minimum share of the remaining budget that all processes together hold as working tokens, regardless of recent
/// usage.
const MIN_WORKING_SHARE: f64 = 0.02;

/// The maximum share of the remaining budget that all processes together hold as standby tokens, for outages of the
/// store.
const MAX_STANDBY_SHARE: f64 = 0.6;

/// The minimum share of the budget that is left to a process that holds tokens ahead of use, whose first callers may
/// arrive at any time.
const MIN_USE_SHARE: f64 = 0.05;

/// The maximum seconds of its usage that a process's standby tokens cover. Any more held by the first processes would
/// be missing at those whose callers arrive later.
const MAX_STANDBY_SECONDS: f64 = 15.0;

/// The minimum share of a process's part of the remaining budget that it holds as standby tokens, for callers that
/// arrive during an outage.
const MIN_STANDBY_SHARE: f64 = 0.1;

/// The fraction of the target below which more tokens are requested.
const REFILL_THRESHOLD: f64 = 0.5;

/// The fraction of the target below which more working tokens are requested if a write is made for another budget
/// anyway.
const BATCHED_REFILL_THRESHOLD: f64 = 0.65;

/// The maximum share of the remaining budget that all processes together hold as working tokens when the budget is low.
const LOW_BUDGET_SHARE: f64 = 0.1;

/// Seconds of its usage that a process's working tokens cover when the budget is low.
const LOW_BUDGET_SECONDS: f64 = 1.0;

/// The fraction of the prepaid total below which the budget is low. Tokens held by one process are then missing at
/// another.
const LOW_BUDGET_THRESHOLD: f64 = 0.05;

/// The fraction of the prepaid total below which no standby tokens are held.
const STANDBY_THRESHOLD: f64 = 0.02;

/// Working tokens are returned if a process holds more than this multiple of the target.
const RETURN_FACTOR: f64 = 3.0;

/// Standby tokens are returned if a process holds more than this multiple of the target, which shrinks with the
/// remaining budget.
const STANDBY_RETURN_FACTOR: f64 = 1.5;

/// The factor by which the usage rate must exceed the one in the grant for the grant to be renewed. In an outage, standby
/// tokens are released at the rate in the grant.
const RATE_RENEWAL_FACTOR: f64 = 1.3;

/// The fraction of the prepaid total that an excess must exceed to be worth a write of its own.
const MIN_RETURN_SHARE: f64 = 0.000_5;

/// The values that determine how many unspent tokens of one budget a process holds.
#[derive(Debug, Clone, Copy)]
pub struct GrantInput {
    /// The workspace's prepaid total.
    pub prepaid: TokenCount,
    /// Tokens that no process holds.
    pub pool: TokenCount,
    /// Working tokens that are neither spent nor reserved.
    pub available: TokenCount,
    /// Standby tokens of this process.
    pub standby: TokenCount,
    /// Tokens that were spent in excess of the working tokens, out of standby.
    pub overdrawn: TokenCount,
    /// Tokens that waiting requests of this process need.
    pub waiting: TokenCount,
    /// The usage rate of this process, in tokens per second.
    pub rate: f64,
    /// The usage rate in the current grant, which determines how fast its standby tokens become spendable.
    pub granted_rate: TokenRate,
    /// The usage rate of the other processes when their grants were written, in tokens per second.
    pub others_rate: f64,
    /// The other processes' standby tokens.
    pub others_standby: TokenCount,
    /// Whether the process has written a presence record lately. Without one, no successor can return further standby
    /// tokens.
    pub has_presence: bool,
    /// Whether a write is made for another budget anyway.
    pub is_batched: bool,
    /// Why the process holds tokens.
    pub purpose: HoldPurpose,
}

/// Why a process holds tokens of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldPurpose {
    /// It draws grants ahead of its own use and of loans to others.
    Lending,
    /// It borrows from another process. It keeps up to this many tokens of an earlier grant for its next requests, and draws
    /// only what waiting requests need.
    Borrowing(TokenCount),
    /// It leaves, and holds only what waiting requests need.
    Leaving,
}

/// The decision on how many unspent tokens to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantSizing {
    /// Keep the current number of tokens.
    Keep,
    /// Hold this many unspent tokens of each kind, which are more or fewer than now.
    Hold(HolderGrant),
}

impl GrantSizing {
    /// Decides from the remaining budget and the usage rates.
    pub fn decide(input: &GrantInput) -> Self {
        // The tokens that this process can obtain: its own unspent tokens and the pool.
        let own = (input.available.0 + input.standby.0).saturating_sub(input.overdrawn.0);
        let reachable = own + input.pool.0;
        let is_lending = input.purpose == HoldPurpose::Lending;
        let remaining = reachable as f64 + input.others_standby.0 as f64;
        let own_part = remaining * use_share(input);
        let spare = wanted_working(input, remaining, own_part);
        let standby = wanted_standby(input, remaining, own_part);
        let working = (input.waiting.0.saturating_add(spare)).min(reachable);
        let target = HolderGrant {
            working: TokenCount(working),
            standby: TokenCount(standby.min(reachable - working)),
            use_rate: TokenRate(if is_lending { input.rate as u64 } else { 0 }),
        };
        let (available, held_standby) = (input.available.0 as f64, input.standby.0 as f64);
        let refill_threshold =
            if input.is_batched { BATCHED_REFILL_THRESHOLD } else { REFILL_THRESHOLD };
        let is_short = input.overdrawn.0 > 0
            || input.waiting.0 > input.available.0 && working > input.available.0
            || available < spare as f64 * refill_threshold && working > input.available.0
            || held_standby < standby as f64 * REFILL_THRESHOLD && target.standby > input.standby
            || target.standby > TokenCount(0)
                && input.rate > input.granted_rate.0 as f64 * RATE_RENEWAL_FACTOR + 1.0;
        let min_excess = match input.purpose {
            HoldPurpose::Leaving => 0.0,
            _ => input.prepaid.0 as f64 * MIN_RETURN_SHARE,
        };
        let is_excessive = available > working as f64 * RETURN_FACTOR
            && available - working as f64 > min_excess
            || held_standby > standby as f64 * STANDBY_RETURN_FACTOR
                && held_standby - standby as f64 > min_excess;
        if is_short || is_excessive { Self::Hold(target) } else { Self::Keep }
    }
}

/// Returns the share of the budget that is left to this process. It follows the process's share of the use, loans to
/// others included. A process that was just chosen to draw the budget's grants has little use yet, and takes over from the
/// earlier one.
fn use_share(input: &GrantInput) -> f64 {
    let total = input.rate + input.others_rate;
    if total > 0.0 { (input.rate / total).max(MIN_USE_SHARE) } else { 1.0 }
}

/// Returns the working tokens that a process should hold unspent in addition to those that waiting requests need.
/// `remaining` is the remaining budget, and `own_part` the part of it that is left to this process.
fn wanted_working(input: &GrantInput, remaining: f64, own_part: f64) -> u64 {
    match input.purpose {
        HoldPurpose::Lending => {}
        HoldPurpose::Borrowing(kept) => return kept.min(input.available).0,
        HoldPurpose::Leaving => return 0,
    }
    if remaining < input.prepaid.0 as f64 * LOW_BUDGET_THRESHOLD {
        return (input.rate * LOW_BUDGET_SECONDS).min(own_part * LOW_BUDGET_SHARE) as u64;
    }
    (input.rate * WORKING_SECONDS)
        .max(own_part * MIN_WORKING_SHARE)
        .min(own_part * MAX_WORKING_SHARE) as u64
}

/// Returns the standby tokens that a process should hold. They depend on the remaining budget, regardless of which
/// process holds it: a bound on the pool alone would make processes take and return the same tokens in turns.
fn wanted_standby(input: &GrantInput, remaining: f64, own_part: f64) -> u64 {
    let is_sufficient = remaining >= input.prepaid.0 as f64 * STANDBY_THRESHOLD;
    if !is_sufficient || input.purpose != HoldPurpose::Lending {
        return 0;
    }
    let standby = (input.rate * MAX_STANDBY_SECONDS).max(own_part * MIN_STANDBY_SHARE);
    let standby = standby.min(own_part * MAX_STANDBY_SHARE) as u64;
    // Held tokens near the target are kept: a write that also reduces them leaves the smaller number until it is confirmed,
    // and the store may go away before that.
    let held = input.standby.0 as f64;
    let is_near =
        held >= standby as f64 * REFILL_THRESHOLD && held <= standby as f64 * STANDBY_RETURN_FACTOR;
    let standby = if is_near { input.standby.0 } else { standby };
    // In an outage, the presence record grows old while the standby tokens are needed, so those that are held are kept.
    if input.has_presence { standby } else { standby.min(input.standby.0) }
}
