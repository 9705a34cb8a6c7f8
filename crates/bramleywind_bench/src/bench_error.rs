use bramleywind_harness::FleetError;
use snafu::Snafu;

/// The reason why a benchmark could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// The fleet did not start, or a process did not answer.
    #[snafu(transparent)]
    Fleet {
        /// The underlying error.
        source: FleetError,
    },
    /// The configuration of the fleet is not valid.
    #[snafu(transparent)]
    Document {
        /// The underlying error.
        source: bramleywind_operator::FleetError,
    },
    /// The table could not be written to a CSV file.
    #[snafu(display("cannot write `{path}`: {source}; choose a path in a writable directory"))]
    Csv {
        /// The path of the file.
        path: Box<str>,
        /// The underlying error.
        source: csv::Error,
    },
}
