//! Reports an unknown key. If a mistyped key were ignored, its default would silently apply.

use jsonc_parser::ast::Value;

use crate::json::{JsonShape, Report, ShapedNode, suggestion};

pub(crate) fn check(node: &ShapedNode<'_, '_>, report: &mut Report<'_>) {
    let (Value::Object(object), JsonShape::Object(shape)) = (node.value, node.shape) else {
        return;
    };
    for property in &object.properties {
        let name = property.name.as_str();
        if shape.field(name).is_some() {
            continue;
        }
        let known = shape.fields.iter().map(|field| field.name);
        let help = match suggestion(name, known) {
            Some(field) => format!("did you mean `{field}`?"),
            None => {
                let names: Vec<_> =
                    shape.fields.iter().map(|field| format!("`{}`", field.name)).collect();
                format!("remove it, or use one of {}", names.join(", "))
            }
        };
        let message = format!("unknown key `{name}` in {}; {help}", shape.name);
        report.add("unknown_field", property.range, message);
    }
}
