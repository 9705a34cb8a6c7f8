//! Reports a capacity or limit of zero, with which the router would serve no requests or engines would load no models.

use bramleywind_config::json::{Report, object_field};
use jsonc_parser::ast::Object;

/// The fields of `limits` that must not be zero.
const LIMITS: [&str; 5] =
    ["header_bytes", "body_bytes", "request_read_timeout_ms", "request_timeout_ms", "queue_length"];

pub(crate) fn check(root: &Object<'_>, report: &mut Report<'_>) {
    let limits = object_field(root, "limits").and_then(|limits| limits.value.as_object());
    let limits = limits.into_iter().flat_map(|limits| {
        LIMITS.iter().filter_map(|name| Some((*name, object_field(limits, name)?)))
    });
    let weights = "weight_downloads_per_minute";
    if let Some(number) = object_field(root, weights).and_then(|found| found.value.as_number_lit())
        && number.value.parse() == Ok(0_u64)
    {
        let message = format!(
            "`{weights}` is `0`, so no engine would ever load a model; set it to at least 1, or omit `weight_store_address` to send no orders that need weights"
        );
        report.add("zero_limit", number.range, message);
    }
    let capacity = object_field(root, "capacity").map(|property| ("capacity", property));
    for (name, property) in capacity.into_iter().chain(limits) {
        let Some(number) = property.value.as_number_lit() else { continue };
        if number.value.parse() == Ok(0_u64) {
            let message = format!(
                "`{name}` is `0`, so the router would serve no requests; set it to at least 1, or omit it to use the default"
            );
            report.add("zero_limit", number.range, message);
        }
    }
}
