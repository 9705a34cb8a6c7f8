use bramleywind_types::TokenCount;

/// The part of what is left of a budget that all processes together may hold unspent. The loss of all processes
/// strands no more than this part.
const GRANT_POOL_SHARE: f64 = 0.5;

/// Seconds of a process's own use that a grant covers: the store may be out of reach for eight to nine seconds.
const GRANT_COVER_SECONDS: f64 = 10.0;

/// The part of what is left that all processes together hold at least, whether they used it lately or not. In an outage,
/// those that need more borrow it from those that need less.
const IDLE_SHARE: f64 = 0.35;

/// Part of the wanted surplus below which more is asked for.
const REFILL_PART: f64 = 0.5;

/// Part of the prepaid total below which what is left is drawn request by request.
const TAIL_PART: f64 = 0.03;

/// A surplus is given back if it is this many times what is wanted.
const RETURN_FACTOR: f64 = 2.0;

/// Part of the prepaid total that is not worth a write of its own.
const SMALL_PART: f64 = 0.002;

/// What decides how many unspent tokens a process holds of one budget.
#[derive(Debug, Clone, Copy)]
pub struct GrantInput {
    /// All tokens that the workspace may use.
    pub prepaid: TokenCount,
    /// Tokens that no process holds.
    pub pool: TokenCount,
    /// Granted tokens of this process that are neither spent nor reserved.
    pub available: TokenCount,
    /// Tokens that waiting requests of this process need.
    pub waiting: TokenCount,
    /// The process's own use, in tokens a second.
    pub rate: f64,
    /// Processes that may hold grants.
    pub members: usize,
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
        let surplus = wanted_surplus(input);
        let available = input.available.0;
        let reachable = available + input.pool.0;
        let waiting = input.waiting.0.min(reachable);
        if input.waiting.0 > available || (available as f64) < surplus as f64 * REFILL_PART {
            let target = (waiting + surplus).min(reachable);
            // The waiting requests are served even if nothing is left for a surplus.
            return if target > available { Self::Hold(TokenCount(target)) } else { Self::Keep };
        }
        let kept = waiting + surplus;
        let excess = available.saturating_sub(kept);
        let is_worth = excess as f64 > input.prepaid.0 as f64 * SMALL_PART || is_tail(input);
        if available as f64 > kept as f64 * RETURN_FACTOR && excess > 0 && is_worth {
            return Self::Hold(TokenCount(kept));
        }
        Self::Keep
    }
}

/// The unspent tokens that a process should hold besides what waits.
fn wanted_surplus(input: &GrantInput) -> u64 {
    if is_tail(input) {
        return 0;
    }
    let left = (input.pool.0 + input.available.0) as f64;
    let share = left * GRANT_POOL_SHARE / input.members.max(1) as f64;
    let idle = left * IDLE_SHARE / input.members.max(1) as f64;
    (input.rate * GRANT_COVER_SECONDS).max(idle).min(share) as u64
}

fn is_tail(input: &GrantInput) -> bool {
    (input.pool.0 as f64) < input.prepaid.0 as f64 * TAIL_PART
}
