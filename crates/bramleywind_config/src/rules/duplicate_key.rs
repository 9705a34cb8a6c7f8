//! Reports a bearer key that is listed more than once. A key must belong to one workspace and one budget, because a
//! router could not tell otherwise whom to charge.

use std::collections::HashMap;

use crate::{
    KeyHash,
    json::{Report, text_field},
    rules::{DocumentNode, document_node::objects},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let mut owners = HashMap::new();
    for workspace in document.objects("workspaces") {
        let owner = text_field(workspace, "id").map_or("", |id| &id.value);
        for key in objects(workspace, "keys") {
            let Some(hash) = text_field(key, "hash") else { continue };
            let Ok(parsed) = hash.value.parse::<KeyHash>() else { continue };
            if let Some(first) = owners.insert(parsed, owner) {
                let message = format!(
                    "the key with hash `{}` already belongs to workspace `{first}`; give each key to one workspace and one budget",
                    hash.value
                );
                report.add("duplicate_key", hash.range, message);
            }
        }
    }
}
