use bramleywind_ledger::UnavailableCause;
use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice};

use crate::RequestContext;

/// When to repeat a request whose budget could not be consulted, in milliseconds. A holder of slices is
/// declared dead after 3 s.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 2_000;

/// When to repeat a request whose budget is used up, in milliseconds. Running requests hand back what they
/// did not use, and idle slices come back after 10 s.
const EXHAUSTED_RETRY_AFTER_MS: u64 = 10_000;

/// The refusal of a request whose tokens could not be set aside. No cause means that the budget is used up.
pub fn funds_refusal(cause: Option<UnavailableCause>, context: &RequestContext) -> Refusal {
    let budget = &context.budget;
    match cause {
        None => {
            let message = format!("the budget `{budget}` cannot pay for the request; top it up");
            let code = RefusalCode::BudgetExhausted;
            Refusal::not_run(code, message, RepeatAdvice::AfterDelay)
                .after_ms(EXHAUSTED_RETRY_AFTER_MS)
        }
        Some(UnavailableCause::Stopping) => {
            let message = "the router is leaving; use another entry";
            Refusal::not_run(RefusalCode::Leaving, message, RepeatAdvice::AfterDelay).after_ms(0)
        }
        Some(cause) => {
            let message = format!("the budget `{budget}` could not be consulted: {cause:?}");
            let code = RefusalCode::BudgetUnavailable;
            Refusal::not_run(code, message, RepeatAdvice::AfterDelay)
                .after_ms(UNAVAILABLE_RETRY_AFTER_MS)
        }
    }
}
