//! Reports a key that occurs more than once in an object. Parsers differ in which of the values they use.

use std::collections::HashSet;

use jsonc_parser::ast::Value;

use crate::json::{Report, ShapedNode};

pub(crate) fn check(node: &ShapedNode<'_, '_>, report: &mut Report<'_>) {
    let Value::Object(object) = node.value else { return };
    let mut seen = HashSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        if !seen.insert(name) {
            let message = format!(
                "the key `{name}` occurs more than once in an object; keep one of the values"
            );
            report.add("repeated_field", property.range, message);
        }
    }
}
