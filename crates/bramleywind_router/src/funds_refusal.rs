use bramleywind_ledger::UnavailableCause;
use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice};

use crate::RequestContext;

/// Retry delay for a request whose budget is unavailable, in milliseconds. A holder of slices is declared
/// dead after 3 s.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 2_000;

/// Retry delay for a request whose budget is exhausted, in milliseconds. Running requests return the tokens
/// that they did not use, and idle slices are returned after 10 s.
const EXHAUSTED_RETRY_AFTER_MS: u64 = 10_000;

/// Returns the refusal for a request whose tokens could not be reserved. `None` as cause means that the
/// budget is exhausted.
pub fn funds_refusal(cause: Option<UnavailableCause>, context: &RequestContext) -> Refusal {
    let budget = &context.budget;
    match cause {
        None => {
            let message =
                format!("the budget `{budget}` has too few tokens for the request; top it up");
            let code = RefusalCode::BudgetExhausted;
            Refusal::not_run(code, message, RepeatAdvice::AfterDelay)
                .after_ms(EXHAUSTED_RETRY_AFTER_MS)
        }
        Some(UnavailableCause::Stopping) => {
            let message = "the router is leaving; use another entry";
            Refusal::not_run(RefusalCode::Leaving, message, RepeatAdvice::AfterDelay).after_ms(0)
        }
        Some(cause) => {
            let message = format!("the budget `{budget}` is unavailable: {cause:?}");
            let code = RefusalCode::BudgetUnavailable;
            Refusal::not_run(code, message, RepeatAdvice::AfterDelay)
                .after_ms(UNAVAILABLE_RETRY_AFTER_MS)
        }
    }
}
