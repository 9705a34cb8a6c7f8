use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, StringLit, Value},
    common::Range,
    parse_to_ast,
};

use crate::{Diagnostic, DiagnosticList};

/// Allows comments and trailing commas. Everything else follows RFC 8259, so that other languages can read the
/// files with common libraries.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// The text of a file in JSON with comments, which is used to compute the positions of errors.
#[derive(Debug, Clone, Copy)]
pub struct JsonSource<'a> {
    text: &'a str,
}

impl<'a> JsonSource<'a> {
    /// Creates a source from the text of a file.
    pub fn new(text: &'a str) -> Self {
        Self { text }
    }

    /// Parses the text.
    ///
    /// # Errors
    ///
    /// Returns a single diagnostic of the rule `syntax`, because text that is not JSON has no structure to check.
    pub fn parse(&self) -> Result<Value<'a>, DiagnosticList> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &PARSE_OPTIONS);
        let diagnostic = match parsed {
            Ok(parsed) => match parsed.value {
                Some(value) => return Ok(value),
                None => self.diagnostic(
                    "syntax",
                    Range::new(0, 0),
                    "the file is empty; write one JSON object".into(),
                ),
            },
            Err(error) => self.diagnostic(
                "syntax",
                error.range(),
                format!(
                    "the file is not valid JSON with comments: {}; fix the syntax at this position",
                    error.kind()
                )
                .into(),
            ),
        };
        Err(DiagnosticList(vec![diagnostic]))
    }

    /// Deserializes the text, normally after [`JsonSource::parse`] and the rules found no error.
    ///
    /// # Errors
    ///
    /// Returns a single diagnostic of the rule `deserialize` if the text does not match the type. If the rules ran
    /// before, they missed an error.
    pub fn deserialize<T: serde::de::DeserializeOwned>(&self) -> Result<T, DiagnosticList> {
        jsonc_parser::parse_to_serde_value(self.text, &PARSE_OPTIONS).map_err(|error| {
            let range = Range::new(0, 0);
            DiagnosticList(vec![self.diagnostic("deserialize", range, error.to_string().into())])
        })
    }

    /// Returns the text in a range.
    pub fn slice(&self, range: Range) -> &'a str {
        self.text.get(range.start..range.end).unwrap_or_default()
    }

    /// Creates a diagnostic at the start of a range.
    pub fn diagnostic(&self, rule: &'static str, range: Range, message: Box<str>) -> Diagnostic {
        let before = self.text.get(..range.start).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let line = count(before.matches('\n').count() + 1);
        let column = count(before[line_start..].chars().count() + 1);
        Diagnostic { line, column, rule, message }
    }
}

/// Returns the first property of an object with the given name.
pub fn object_field<'v, 'a>(object: &'v Object<'a>, name: &str) -> Option<&'v ObjectProp<'a>> {
    object.properties.iter().find(|property| property.name.as_str() == name)
}

/// Returns the property of an object with the given name if it is a string.
pub fn text_field<'v, 'a>(object: &'v Object<'a>, name: &str) -> Option<&'v StringLit<'a>> {
    object_field(object, name)?.value.as_string_lit()
}
