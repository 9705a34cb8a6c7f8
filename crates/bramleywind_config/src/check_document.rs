use jsonc_parser::ast::Value;

use crate::{
    ConfigDocument, DiagnosticList,
    document_shape::DOCUMENT_SHAPE,
    json::{JsonSource, Report, check_shape},
    rules::{DOCUMENT_RULES, DocumentNode},
};

/// Parses a document, checks it against every rule and returns it if it is valid.
///
/// # Errors
///
/// Returns all errors of the document at once, each with its line and column.
///
/// ```
/// use bramleywind_config::check_document;
///
/// let text = r#"{ "format": 1, "workspaces": [], "budgets": [], "models": [], "services": [],
///   "endpoints": [], "endpoint": [] }"#;
/// assert_eq!(
///     check_document(text).unwrap_err().to_string(),
///     "2:20: unknown key `endpoint` in the document; did you mean `endpoints`? [unknown_field]"
/// );
/// ```
pub fn check_document(text: &str) -> Result<ConfigDocument, DiagnosticList> {
    let source = JsonSource::new(text);
    let value = source.parse()?;
    let mut report = Report::new(source);
    check_shape(&value, DOCUMENT_SHAPE, &mut report);
    if let Value::Object(root) = &value {
        let document = DocumentNode { root };
        for rule in DOCUMENT_RULES {
            rule(&document, &mut report);
        }
    }
    report.finish()?;
    // The rules should find every error before the deserializer does. If the two ever disagree, its error is reported.
    source.deserialize()
}
