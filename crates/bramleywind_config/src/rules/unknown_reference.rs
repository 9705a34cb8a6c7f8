//! Reports a reference to an object that the document does not define.

use std::collections::HashSet;

use jsonc_parser::ast::StringLit;

use crate::{
    json::{Report, suggestion, text_field},
    rules::{
        DocumentNode,
        document_node::{objects, string_elements},
    },
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let workspaces = || document.objects("workspaces");
    let keys = workspaces().flat_map(|workspace| objects(workspace, "keys"));
    let budgets = document.objects("budgets");
    let models = workspaces()
        .chain(document.engine_roles())
        .flat_map(|referrer| string_elements(referrer, "models"));
    let services = workspaces()
        .flat_map(|workspace| string_elements(workspace, "services"))
        .chain(document.service_roles().filter_map(|role| text_field(role, "service")));

    check_references(document, "budgets", keys.filter_map(|key| text_field(key, "budget")), report);
    let owners = budgets.filter_map(|budget| text_field(budget, "workspace"));
    check_references(document, "workspaces", owners, report);
    check_references(document, "models", models, report);
    check_references(document, "services", services, report);
}

fn check_references<'v, 'a: 'v>(
    document: &DocumentNode<'v, 'a>,
    list: &str,
    references: impl Iterator<Item = &'v StringLit<'a>>,
    report: &mut Report<'_>,
) {
    let known: HashSet<&str> = document.ids(list).map(|id| id.value.as_ref()).collect();
    for reference in references.filter(|reference| !known.contains(reference.value.as_ref())) {
        let name = reference.value.as_ref();
        let help = match suggestion(name, document.ids(list).map(|id| id.value.as_ref())) {
            Some(id) => format!("did you mean `{id}`?"),
            None => format!("add it to `{list}` or remove the reference"),
        };
        let message = format!("`{name}` is not defined in `{list}`; {help}");
        report.add("unknown_reference", reference.range, message);
    }
}
