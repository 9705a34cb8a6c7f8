//! Reports a required key that is missing, and an object with alternatives that does not have exactly one of them.

use jsonc_parser::ast::Value;

use crate::json::{JsonShape, Report, ShapedNode, object_field};

pub(crate) fn check(node: &ShapedNode<'_, '_>, report: &mut Report<'_>) {
    let (Value::Object(object), JsonShape::Object(shape)) = (node.value, node.shape) else {
        return;
    };
    let names = shape.fields.iter().map(|field| field.name);
    if shape.is_choice {
        let given = names.clone().filter(|name| object_field(object, name).is_some()).count();
        if given != 1 {
            let names: Vec<_> = names.map(|name| format!("`{name}`")).collect();
            let choice = names.join(" and ");
            let message =
                format!("{} has {given} of the keys {choice}; set exactly one of them", shape.name);
            report.add("missing_field", node.range, message);
        }
        return;
    }
    let missing = shape.fields.iter().filter(|field| field.is_required);
    for field in missing.filter(|field| object_field(object, field.name).is_none()) {
        let message = format!("{} is missing the key `{}`; add it", shape.name, field.name);
        report.add("missing_field", node.range, message);
    }
}
