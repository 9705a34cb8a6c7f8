//! Reports a request timeout that exceeds the drain bound, because a planned shutdown would interrupt the longest
//! requests.

use bramleywind_config::json::{Report, object_field};
use jsonc_parser::ast::{NumberLit, Object};

use crate::RouterLimits;

pub(crate) fn check(root: &Object<'_>, report: &mut Report<'_>) {
    let Some(limits) = object_field(root, "limits").and_then(|limits| limits.value.as_object())
    else {
        return;
    };
    let number =
        |name| -> Option<&NumberLit<'_>> { object_field(limits, name)?.value.as_number_lit() };
    let (request, bound) = (number("request_timeout_ms"), number("drain_bound_ms"));
    let Some(reported) = request.or(bound) else { return };
    let defaults = RouterLimits::default();
    let milliseconds = |number: Option<&NumberLit<'_>>, default: std::time::Duration| {
        number.map_or(Ok(default.as_millis()), |number| number.value.parse())
    };
    let (Ok(request), Ok(bound)) = (
        milliseconds(request, defaults.request_timeout),
        milliseconds(bound, defaults.drain_bound),
    ) else {
        return;
    };
    if request > bound {
        let message = format!(
            "`request_timeout_ms` is `{request}`, which exceeds `drain_bound_ms` at `{bound}`, so a drain would interrupt requests; raise `drain_bound_ms` or lower `request_timeout_ms`"
        );
        report.add("timeout_order", reported.range, message);
    }
}
