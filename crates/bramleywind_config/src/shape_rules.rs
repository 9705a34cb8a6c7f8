//! The rules for every kind of file. Each rule has its own file, named after the rule.

mod missing_field;
mod number_range;
mod repeated_field;
mod text_form;
mod unknown_field;
mod value_type;

use crate::json::{Report, ShapedNode};

type ShapeRule = fn(&ShapedNode<'_, '_>, &mut Report<'_>);

/// All shape rules, in the order in which they check a value.
pub(crate) const SHAPE_RULES: &[ShapeRule] = &[
    value_type::check,
    unknown_field::check,
    missing_field::check,
    repeated_field::check,
    number_range::check,
    text_form::check,
];
