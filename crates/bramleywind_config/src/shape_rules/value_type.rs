//! Reports a value that does not have the JSON type of its field.

use jsonc_parser::ast::Value;

use crate::json::{JsonShape, Report, ShapedNode};

/// The maximum length of a value in a message. Longer values are truncated.
const MAX_SHOWN_CHARS: usize = 40;

pub(crate) fn check(node: &ShapedNode<'_, '_>, report: &mut Report<'_>) {
    let expected = match (node.shape, node.value) {
        (JsonShape::Text(_), Value::StringLit(_))
        | (JsonShape::Number { .. }, Value::NumberLit(_))
        | (JsonShape::Boolean, Value::BooleanLit(_))
        | (JsonShape::List(_), Value::Array(_))
        | (JsonShape::Object(_), Value::Object(_)) => return,
        (JsonShape::Text(_), _) => "a string",
        (JsonShape::Number { .. }, _) => "a whole number without quotes",
        (JsonShape::Boolean, _) => "`true` or `false`",
        (JsonShape::List(_), _) => "a list",
        (JsonShape::Object(_), _) => "an object",
    };
    let shown: String = report.source().slice(node.range).chars().take(MAX_SHOWN_CHARS).collect();
    let shown = shown.lines().next().unwrap_or_default();
    report.add("value_type", node.range, format!("`{shown}` has the wrong type; write {expected}"));
}
