//! Reports a version or adapter of a model that the engine does not serve.

use std::collections::HashSet;

use crate::{
    json::{Report, text_field},
    rules::{
        DocumentNode,
        document_node::{objects, string_elements},
    },
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    for engine in document.engine_roles() {
        let served: HashSet<&str> =
            string_elements(engine, "models").map(|model| model.value.as_ref()).collect();
        let entries = objects(engine, "versions").chain(objects(engine, "adapters"));
        for model in entries.filter_map(|entry| text_field(entry, "model")) {
            if !served.contains(model.value.as_ref()) {
                let message = format!(
                    "the engine does not serve the model `{}`; add it to the engine's `models` or remove this entry",
                    model.value
                );
                report.add("unserved_model", model.range, message);
            }
        }
    }
}
