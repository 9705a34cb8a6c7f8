use bramleywind_harness::FleetError;
use snafu::Snafu;

/// Why a benchmark could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// The fleet did not start or answer.
    #[snafu(transparent)]
    Fleet {
        /// The cause.
        source: FleetError,
    },
    /// The configuration is not valid.
    #[snafu(transparent)]
    Document {
        /// The cause.
        source: bramleywind_operator::FleetError,
    },
    /// The table could not be written.
    #[snafu(display("cannot write `{path}`: {source}; name a file in a writable folder"))]
    Csv {
        /// The file.
        path: Box<str>,
        /// The cause.
        source: csv::Error,
    },
}
