//! Reports two versions of the same model for one engine. The engine has only one version at a time, so the routers
//! would keep ordering the two versions alternately.

use std::collections::HashSet;

use crate::{
    json::{Report, text_field},
    rules::{DocumentNode, document_node::objects},
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    for engine in document.engine_roles() {
        let mut seen: HashSet<&str> = HashSet::new();
        for model in objects(engine, "versions").filter_map(|entry| text_field(entry, "model")) {
            if !seen.insert(model.value.as_ref()) {
                let message = format!(
                    "`versions` lists the model `{}` more than once; keep one version of each model",
                    model.value
                );
                report.add("version_conflict", model.range, message);
            }
        }
    }
}
