use schemars::{Schema, schema_for};

use crate::ConfigDocument;

/// Returns the JSON schema of the document, for editors and for programs in other languages.
///
/// The schema describes the structure only; [`check_document`](crate::check_document) also checks rules that span
/// several objects.
///
/// ```
/// let schema = bramleywind_config::config_schema();
/// assert_eq!(schema.get("title").and_then(|title| title.as_str()), Some("ConfigDocument"));
/// ```
pub fn config_schema() -> Schema {
    schema_for!(ConfigDocument)
}
