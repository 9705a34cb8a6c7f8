//! Reports a document whose format version is not supported by this program.

use crate::{
    FORMAT_VERSION,
    json::{Report, object_field},
    rules::DocumentNode,
};

pub(crate) fn check(document: &DocumentNode<'_, '_>, report: &mut Report<'_>) {
    let Some(number) = object_field(document.root, "format").and_then(|p| p.value.as_number_lit())
    else {
        return;
    };
    if number.value.parse() != Ok(FORMAT_VERSION) {
        let message = format!(
            "format `{}` is not supported; this program reads format {FORMAT_VERSION}",
            number.value
        );
        report.add("format_version", number.range, message);
    }
}
