//! What a request is billed. A pure rule, so that each case of section 5 of the design can be tested alone.

use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

/// How the answer to a request ended.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum AnswerEnding {
    /// The caller was sent the whole answer.
    Complete,
    /// The caller disconnected, or stopped reading.
    CallerGone,
    /// The last attempt failed.
    EndpointFailed,
}

/// The token counts that an engine reported.
#[domain_type]
#[derive(Copy)]
pub struct ReportedUsage {
    /// Prompt and answer together.
    pub total: TokenCount,
    /// The answer alone, if the engine said so.
    pub completion: Option<TokenCount>,
}

/// All that the bill depends on.
#[domain_type]
#[derive(Copy)]
pub struct BillInput {
    /// The router's estimate of the prompt.
    pub prompt_estimate: TokenCount,
    /// The answer tokens that the router received, over all attempts.
    pub delivered: TokenCount,
    /// What was reserved; no bill is larger.
    pub reserved: TokenCount,
    /// What the engine reported.
    pub reported: Option<ReportedUsage>,
    /// How the answer ended.
    pub ending: AnswerEnding,
    /// Whether an endpoint accepted the request at any attempt, or may have when its caller left.
    pub accepted: bool,
}

/// The bill, and what was reported beyond the reservation.
#[domain_type]
#[derive(Copy)]
pub struct BillDecision {
    /// What the workspace pays.
    pub billed: TokenCount,
    /// Reported or delivered tokens that exceed the reservation and are not billed.
    pub excess: TokenCount,
}

/// Applies rules B1 to B5 and B7.
///
/// ```
/// use bramleywind_router::{AnswerEnding, BillInput, ReportedUsage, decide_bill};
/// use bramleywind_types::TokenCount;
///
/// let input = BillInput {
///     prompt_estimate: TokenCount(5),
///     delivered: TokenCount(20),
///     reserved: TokenCount(100),
///     reported: Some(ReportedUsage { total: TokenCount(24), completion: None }),
///     ending: AnswerEnding::Complete,
///     accepted: true,
/// };
/// assert_eq!(decide_bill(&input).billed, TokenCount(24));
/// ```
pub fn decide_bill(input: &BillInput) -> BillDecision {
    let nothing_ran = match input.ending {
        AnswerEnding::Complete => false,
        AnswerEnding::CallerGone => !input.accepted,
        AnswerEnding::EndpointFailed => input.delivered == TokenCount(0),
    };
    if nothing_ran {
        return BillDecision { billed: TokenCount(0), excess: TokenCount(0) };
    }
    let counted = input.prompt_estimate.saturating_add(input.delivered);
    let is_plausible = |usage: &ReportedUsage| {
        usage.total >= input.delivered
            && usage.completion.is_none_or(|completion| completion >= input.delivered)
    };
    // A caller that left was cancelled at the engine, whose usage then covers work that nobody received.
    let reported = match input.ending {
        AnswerEnding::Complete => input.reported.filter(is_plausible),
        AnswerEnding::CallerGone | AnswerEnding::EndpointFailed => None,
    };
    let claimed = reported.map_or(counted, |usage| usage.total);
    BillDecision {
        billed: claimed.min(input.reserved),
        excess: claimed.saturating_sub(input.reserved),
    }
}
