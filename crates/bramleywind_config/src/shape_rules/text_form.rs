//! Reports a string that does not have the format of its field, such as an identifier.

use jsonc_parser::ast::Value;

use crate::json::{JsonShape, Report, ShapedNode};

pub(crate) fn check(node: &ShapedNode<'_, '_>, report: &mut Report<'_>) {
    let (Value::StringLit(text), JsonShape::Text(check)) = (node.value, node.shape) else {
        return;
    };
    if let Err(message) = check(&text.value) {
        report.add("text_form", node.range, message);
    }
}
