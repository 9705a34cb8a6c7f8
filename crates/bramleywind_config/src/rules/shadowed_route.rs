//! Reports a route that follows a route with the same method and a prefix of its path. The first matching route
//! applies, so a non-idempotent call could be treated as idempotent.

use crate::{
    json::{Report, text_field},
    rules::{DocumentNode, document_node::objects},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    for service in document.objects("services") {
        let mut earlier: Vec<(&str, &str)> = Vec::new();
        for route in objects(service, "routes") {
            let (Some(method), Some(prefix)) =
                (text_field(route, "method"), text_field(route, "path_prefix"))
            else {
                continue;
            };
            let (method, path) = (method.value.as_ref(), prefix.value.as_ref());
            let first = earlier.iter().find(|(m, p)| *m == method && path.starts_with(p));
            if let Some((_, first)) = first {
                let message = format!(
                    "the route `{method} {path}` is unreachable because `{method} {first}` matches first; move it before that route"
                );
                report.add("shadowed_route", prefix.range, message);
            }
            earlier.push((method, path));
        }
    }
}
