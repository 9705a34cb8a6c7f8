//! Parsing and checking of JSON with comments, with a file position for every error.
//!
//! A deserializer stops at its first error. The text is therefore first checked against a declared shape, which
//! finds all errors in one pass. Deserialization comes last and is not expected to fail.

mod json_shape;
mod json_source;
mod report;
mod shaped_node;
mod suggestion;

pub use json_shape::{FieldShape, JsonShape, ObjectShape, TextCheck, parses_as};
pub use json_source::{JsonSource, object_field, text_field};
pub use report::Report;
pub use shaped_node::{ShapedNode, check_shape};
pub use suggestion::suggestion;
