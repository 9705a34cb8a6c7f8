//! Reports a number that is not an integer, is negative or exceeds the maximum of its field.

use jsonc_parser::ast::Value;

use crate::json::{JsonShape, Report, ShapedNode};

pub(crate) fn check(node: &ShapedNode<'_, '_>, report: &mut Report<'_>) {
    let (Value::NumberLit(number), JsonShape::Number { max }) = (node.value, node.shape) else {
        return;
    };
    let text = number.value;
    if text.parse::<u64>().is_ok_and(|number| number <= max) {
        return;
    }
    let problem = if text.starts_with('-') {
        "is negative"
    } else if text.contains(['.', 'e', 'E']) {
        "is not written as a whole number"
    } else {
        "is too large"
    };
    let message = format!("`{text}` {problem}; write a whole number from 0 to {max}");
    report.add("number_range", node.range, message);
}
