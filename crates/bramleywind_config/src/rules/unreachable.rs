//! Reports an empty list that makes a workspace, engine or service unusable.

use jsonc_parser::ast::Object;

use crate::{
    json::Report,
    rules::{DocumentNode, document_node::list},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    for workspace in document.objects("workspaces") {
        check_list(workspace, "keys", "no caller can use the workspace; add a key", report);
        let is_empty = |name| list(workspace, name).is_some_and(|list| list.elements.is_empty());
        if is_empty("models") && is_empty("services") {
            let message = "`models` and `services` are both `[]`, so the workspace has nothing to call; add a model or a service";
            report.add("unreachable", workspace.range, message);
        }
    }
    for engine in document.engine_roles() {
        check_list(engine, "models", "the engine receives no requests; add a model", report);
    }
    for service in document.objects("services") {
        check_list(service, "routes", "the service rejects every call; add a route", report);
    }
}

fn check_list(object: &Object<'_>, name: &str, effect: &str, report: &mut Report<'_>) {
    if let Some(array) = list(object, name).filter(|array| array.elements.is_empty()) {
        report.add("unreachable", array.range, format!("`{name}` is `[]`, so {effect}"));
    }
}
