//! Reports an endpoint without slots and a model that allows no tokens.

use jsonc_parser::ast::Object;

use crate::{
    json::{Report, object_field},
    rules::DocumentNode,
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let endpoints = document.objects("endpoints");
    check_field(endpoints, "slots", "the endpoint would never receive a request", report);
    let models = document.objects("models");
    check_field(models, "max_request_tokens", "every request would be rejected", report);
}

fn check_field<'v, 'a: 'v>(
    objects: impl Iterator<Item = &'v Object<'a>>,
    name: &str,
    effect: &str,
    report: &mut Report<'_>,
) {
    for number in objects.filter_map(|o| object_field(o, name)?.value.as_number_lit()) {
        if number.value.parse() == Ok(0_u64) {
            let message = format!("`{name}` is `0`, so {effect}; set it to at least 1");
            report.add("zero_slots", number.range, message);
        }
    }
}
