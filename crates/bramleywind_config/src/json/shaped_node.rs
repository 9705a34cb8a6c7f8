use jsonc_parser::{ast::Value, common::Range};

use crate::{
    json::{JsonShape, Report},
    shape_rules::SHAPE_RULES,
};

/// A JSON value together with its expected shape.
#[derive(Debug, Clone, Copy)]
pub struct ShapedNode<'v, 'a> {
    /// The value.
    pub value: &'v Value<'a>,
    /// The expected shape.
    pub shape: JsonShape,
    /// The range at which errors are reported.
    pub range: Range,
}

/// Checks a value and all nested values against a shape.
///
/// The contents of unknown keys and of values of the wrong type are not checked.
pub fn check_shape(value: &Value<'_>, shape: JsonShape, report: &mut Report<'_>) {
    let node = ShapedNode { value, shape, range: value_range(value) };
    for rule in SHAPE_RULES {
        rule(&node, report);
    }
    match (value, shape) {
        (Value::Array(array), JsonShape::List(element)) => {
            for value in &array.elements {
                check_shape(value, *element, report);
            }
        }
        (Value::Object(object), JsonShape::Object(shape)) => {
            for property in &object.properties {
                if let Some(field) = shape.field(property.name.as_str()) {
                    check_shape(&property.value, field.shape, report);
                }
            }
        }
        _ => {}
    }
}

fn value_range(value: &Value<'_>) -> Range {
    match value {
        Value::StringLit(node) => node.range,
        Value::NumberLit(node) => node.range,
        Value::BooleanLit(node) => node.range,
        Value::Object(node) => node.range,
        Value::Array(node) => node.range,
        Value::NullKeyword(node) => node.range,
    }
}
