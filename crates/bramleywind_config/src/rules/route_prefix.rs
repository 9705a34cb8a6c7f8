//! Reports a path prefix of a route that cannot match a request path: one that does not begin with a slash, or that
//! contains more than a path.

use crate::{
    json::{Report, text_field},
    rules::{DocumentNode, document_node::objects},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let routes = document.objects("services").flat_map(|service| objects(service, "routes"));
    for prefix in routes.filter_map(|route| text_field(route, "path_prefix")) {
        let text = prefix.value.as_ref();
        let help = if !text.starts_with('/') {
            format!("does not begin with a slash; write `/{text}`")
        } else if text.contains(['?', '#']) || text.contains(char::is_whitespace) {
            "contains a query, a fragment or a space; write only the path".into()
        } else {
            continue;
        };
        report.add("route_prefix", prefix.range, format!("the path prefix `{text}` {help}"));
    }
}
