//! Reports an instance that occurs more than once in the list of peers.

use std::collections::HashSet;

use bramleywind_config::json::{Report, object_field, text_field};
use jsonc_parser::ast::{Object, Value};

pub(crate) fn check(root: &Object<'_>, report: &mut Report<'_>) {
    let Some(peers) = object_field(root, "peers").and_then(|peers| peers.value.as_array()) else {
        return;
    };
    let mut seen = HashSet::new();
    let peers = peers.elements.iter().filter_map(Value::as_object);
    for instance in peers.filter_map(|peer| text_field(peer, "instance")) {
        if !seen.insert(&instance.value) {
            let message = format!(
                "the peer `{}` is listed more than once; keep one of the entries",
                instance.value
            );
            report.add("duplicate_peer", instance.range, message);
        }
    }
}
