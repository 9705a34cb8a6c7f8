//! Reading JSON with comments so that every error keeps its place in the file.
//!
//! A deserializer stops at its first error. Here the text is first compared with a declared shape, which
//! finds all errors in one pass; deserialization comes last and can then hardly fail.

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
