//! Reports a bearer key that is charged to a budget of another workspace.

use std::collections::HashMap;

use crate::{
    json::{Report, text_field},
    rules::{DocumentNode, document_node::objects},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let owners: HashMap<&str, &str> = document
        .objects("budgets")
        .filter_map(|budget| {
            let owner = text_field(budget, "workspace")?;
            Some((text_field(budget, "id")?.value.as_ref(), owner.value.as_ref()))
        })
        .collect();
    for workspace in document.objects("workspaces") {
        let Some(id) = text_field(workspace, "id") else { continue };
        for budget in objects(workspace, "keys").filter_map(|key| text_field(key, "budget")) {
            let Some(owner) = owners.get(budget.value.as_ref()) else { continue };
            if *owner != id.value {
                let message = format!(
                    "budget `{}` belongs to workspace `{owner}`, not to `{}`; use a budget of the key's own workspace",
                    budget.value, id.value
                );
                report.add("foreign_budget", budget.range, message);
            }
        }
    }
}
