//! A route's path prefix must begin with a slash, as the paths that it is compared with do.

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
            "contains a query, a fragment or a space; write the path alone".into()
        } else {
            continue;
        };
        report.add("route_prefix", prefix.range, format!("the path prefix `{text}` {help}"));
    }
}
