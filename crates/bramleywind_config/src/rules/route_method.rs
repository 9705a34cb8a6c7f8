//! Reports a route method that is not in upper case, as methods are in requests.

use crate::{
    json::{Report, text_field},
    rules::{DocumentNode, document_node::objects},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let routes = document.objects("services").flat_map(|service| objects(service, "routes"));
    for method in routes.filter_map(|route| text_field(route, "method")) {
        let text = method.value.as_ref();
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_uppercase()) {
            let message = format!(
                "`{text}` is not an HTTP method in upper case; write for example `GET` or `POST`"
            );
            report.add("route_method", method.range, message);
        }
    }
}
