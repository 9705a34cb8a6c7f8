use bramleywind_config::DiagnosticList;
use snafu::Snafu;

/// The error for a fleet that could not be built or printed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// Names, addresses or key hashes are malformed.
    #[snafu(display("{}", errors.join("\n")))]
    BadNames {
        /// All errors, each with the value and the remedy.
        errors: Vec<Box<str>>,
    },
    /// The document breaks rules. Lines and columns refer to the document that would have been printed.
    #[snafu(display("the fleet is not valid:\n{diagnostics}"))]
    Invalid {
        /// All errors found in the document.
        diagnostics: DiagnosticList,
    },
    /// The document could not be serialized as JSON.
    #[snafu(display("the document cannot be written as JSON: {source}"))]
    NotWritable {
        /// The error of the serializer.
        source: serde_json::Error,
    },
    /// The document could not be written to the standard output.
    #[snafu(display(
        "the document cannot be printed: {source}; check where the output is redirected to"
    ))]
    Output {
        /// The error of the operating system.
        source: std::io::Error,
    },
}
