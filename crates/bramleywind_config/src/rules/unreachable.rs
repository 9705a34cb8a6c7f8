//! A list must not be empty where that makes its owner unreachable.

use jsonc_parser::ast::Object;

use crate::{
    json::Report,
    rules::{DocumentNode, document_node::list},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    for workspace in document.objects("workspaces") {
        check_list(workspace, "keys", "nobody can call for the workspace; add a key", report);
        let is_empty = |name| list(workspace, name).is_some_and(|list| list.elements.is_empty());
        if is_empty("models") && is_empty("services") {
            let message = "with `models` and `services` both `[]`, the workspace can reach nothing; add a model or a service";
            report.add("unreachable", workspace.range, message);
        }
    }
    for engine in document.engine_roles() {
        check_list(engine, "models", "the engine gets no request; add a model", report);
    }
    for service in document.objects("services") {
        check_list(service, "routes", "the service refuses every call; add a route", report);
    }
}

fn check_list(object: &Object<'_>, name: &str, effect: &str, report: &mut Report<'_>) {
    if let Some(array) = list(object, name).filter(|array| array.elements.is_empty()) {
        report.add("unreachable", array.range, format!("with `{name}` at `[]`, {effect}"));
    }
}
