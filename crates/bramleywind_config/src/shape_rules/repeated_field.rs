//! A key must not occur twice in an object: parsers differ in which of the two they take.

use std::collections::HashSet;

use jsonc_parser::ast::Value;

use crate::json::{Report, ShapedNode};

pub(crate) fn check(node: &ShapedNode<'_, '_>, report: &mut Report<'_>) {
    let Value::Object(object) = node.value else { return };
    let mut seen = HashSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        if !seen.insert(name) {
            let message = format!("the key `{name}` occurs twice in one object; remove one");
            report.add("repeated_field", property.range, message);
        }
    }
}
