use bramleywind_config::DiagnosticList;
use snafu::Snafu;

/// Why a fleet could not be printed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// Names, addresses or key hashes have the wrong form.
    #[snafu(display("{}", errors.join("\n")))]
    BadNames {
        /// Every error, with the value and the remedy.
        errors: Vec<Box<str>>,
    },
    /// The document breaks rules. Lines and columns are those of the document that would have been printed.
    #[snafu(display("the fleet is not valid:\n{diagnostics}"))]
    Invalid {
        /// Every error.
        diagnostics: DiagnosticList,
    },
    /// The document could not be written as JSON.
    #[snafu(display("the document cannot be written as JSON: {source}"))]
    NotWritable {
        /// The serializer's reason.
        source: serde_json::Error,
    },
    /// The output could not be written to.
    #[snafu(display("the document cannot be printed: {source}; check where the output goes"))]
    Output {
        /// The operating system's reason.
        source: std::io::Error,
    },
}
