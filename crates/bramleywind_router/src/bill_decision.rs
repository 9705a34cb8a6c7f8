//! Decides how many tokens a request is billed. The decision is a pure function, so that each case of section
//! 5 of the design can be tested alone.

use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

/// The way the answer to a request ended.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum AnswerEnding {
    /// The complete answer was sent to the caller.
    Complete,
    /// The caller disconnected or stopped reading.
    CallerGone,
    /// The last attempt failed.
    EndpointFailed,
}

/// The token counts that an engine reported.
#[domain_type]
#[derive(Copy)]
pub struct ReportedUsage {
    /// The tokens of the prompt and the answer together.
    pub total: TokenCount,
    /// The tokens of the answer, if the engine reported them separately.
    pub completion: Option<TokenCount>,
}

/// The input of [`decide_bill`].
#[domain_type]
#[derive(Copy)]
pub struct BillInput {
    /// The router's estimate of the prompt's length.
    pub prompt_estimate: TokenCount,
    /// The answer tokens that the router received, over all attempts.
    pub delivered: TokenCount,
    /// The reserved tokens, which are the upper limit of the bill.
    pub reserved: TokenCount,
    /// The usage that the engine reported, if any.
    pub reported: Option<ReportedUsage>,
    /// How the answer ended.
    pub ending: AnswerEnding,
    /// Whether an endpoint accepted the request at any attempt, or may have done so before the caller
    /// disconnected.
    pub accepted: bool,
}

/// The billed tokens, and the tokens beyond the reservation.
#[domain_type]
#[derive(Copy)]
pub struct BillDecision {
    /// The tokens that the workspace is billed.
    pub billed: TokenCount,
    /// Reported or delivered tokens that exceed the reservation and are not billed.
    pub excess: TokenCount,
}

/// Decides the bill of a request by the billing rules B1 to B5 and B7.
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
    // When the caller disconnects, the request is cancelled at the engine, and the usage that it then reports
    // includes work that nobody received.
    let reported = match input.ending {
        AnswerEnding::Complete => input.reported.filter(is_plausible),
        AnswerEnding::CallerGone | AnswerEnding::EndpointFailed => None,
    };
    let total = reported.map_or(counted, |usage| usage.total);
    BillDecision { billed: total.min(input.reserved), excess: total.saturating_sub(input.reserved) }
}
