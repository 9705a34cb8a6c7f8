//! Reports an id that is shared by several objects, or that occurs more than once in a list of references.

use std::collections::HashSet;

use jsonc_parser::ast::StringLit;

use crate::{
    json::Report,
    rules::{DocumentNode, document_node::string_elements},
};

/// The top-level lists whose objects have ids.
const LISTS: [&str; 5] = ["workspaces", "budgets", "models", "services", "endpoints"];

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    for list in LISTS {
        for id in duplicates(document.ids(list)) {
            let message = format!(
                "the id `{}` occurs twice in `{list}`; rename or remove one of the two",
                id.value
            );
            report.add("duplicate_id", id.range, message);
        }
    }
    let workspaces = document.objects("workspaces");
    let reference_lists = workspaces
        .flat_map(|workspace| {
            [string_elements(workspace, "models"), string_elements(workspace, "services")]
        })
        .chain(document.engine_roles().map(|engine| string_elements(engine, "models")));
    for list in reference_lists {
        for id in duplicates(list) {
            let message = format!("`{}` is listed twice; remove one of the two", id.value);
            report.add("duplicate_id", id.range, message);
        }
    }
}

fn duplicates<'v, 'a: 'v>(
    ids: impl Iterator<Item = &'v StringLit<'a>>,
) -> impl Iterator<Item = &'v StringLit<'a>> {
    let mut seen = HashSet::new();
    ids.filter(move |id| !seen.insert(&id.value))
}
