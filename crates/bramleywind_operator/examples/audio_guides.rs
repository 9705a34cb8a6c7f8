//! Prints the configuration of a fleet that serves museum audio guides. It has language model engines for the
//! scripts and lockers for the headsets, whose bays must not be unlocked twice.
//!
//!     cargo run --example audio_guides -- \
//!         --endpoint engine-1=192.0.2.11:8080 --endpoint locker-1=192.0.2.31:8080

use std::process::ExitCode;

use bramleywind_operator::{
    EndpointAddress, EndpointSpec, Fleet, ModelSpec, ServiceSpec, WorkspaceSpec,
};
use clap::Parser;

const DATA_CENTRES: [&str; 3] = ["plateau", "almadies", "rufisque"];
const MODEL: &str = "script-writer";
const LOCKER_SERVICE: &str = "lockers";

/// The workspaces and their prepaid tokens: three large ones and seven small ones.
const WORKSPACES: [(&str, u64); 10] = [
    ("museum-of-civilisations", 6_000_000),
    ("island-house-tours", 4_000_000),
    ("old-station-gallery", 2_500_000),
    ("lighthouse-walks", 300_000),
    ("craft-village", 250_000),
    ("fishing-port-visits", 200_000),
    ("botanical-garden", 150_000),
    ("pink-lake-trips", 120_000),
    ("cathedral-visits", 100_000),
    ("school-holiday-club", 60_000),
];

/// Prints the configuration of the audio guides' fleet.
#[derive(Debug, Parser)]
struct Args {
    /// The id and address of an endpoint; ids begin with `engine-` or `locker-`. May be repeated.
    #[arg(long = "endpoint", value_name = "ID=IP:PORT", required = true)]
    endpoints: Vec<EndpointAddress>,
}

/// Builds a workspace with one budget and one bearer key.
fn workspace_spec(name: &str, prepaid_tokens: u64) -> WorkspaceSpec {
    let budget = format!("{name}-season");
    // These keys are for tests on the loopback interface. Real programs read keys from a file or use `key_hash`.
    WorkspaceSpec::new(name)
        .budget(&budget, prepaid_tokens)
        .key(&format!("{name}-example-key"), &budget)
        .may_use_model(MODEL)
        .may_use_service(LOCKER_SERVICE)
}

/// Builds an endpoint, and spreads endpoints over the data centres by the number at the end of their ids.
fn endpoint_spec(endpoint: &EndpointAddress) -> EndpointSpec {
    let id = endpoint.id.as_str();
    let number: usize = id.rsplit('-').next().and_then(|end| end.parse().ok()).unwrap_or(1);
    let data_centre = DATA_CENTRES[number.saturating_sub(1) % DATA_CENTRES.len()];
    let spec = if id.starts_with("locker-") {
        EndpointSpec::service(id, LOCKER_SERVICE).slots(2)
    } else {
        EndpointSpec::engine(id, [MODEL]).slots(4)
    };
    spec.placed_in(data_centre).at(&endpoint.address.to_string())
}

/// Builds the fleet with these endpoints.
pub(crate) fn build_fleet(endpoints: &[EndpointAddress]) -> Fleet {
    Fleet::new()
        .model(ModelSpec::new(MODEL, 8_192))
        .service(
            ServiceSpec::new(LOCKER_SERVICE, 10)
                .non_idempotent_route("POST", "/unlock")
                .idempotent_route("GET", "/state"),
        )
        .workspaces(WORKSPACES.map(|(name, prepaid_tokens)| workspace_spec(name, prepaid_tokens)))
        .endpoints(endpoints.iter().map(endpoint_spec))
}

fn main() -> ExitCode {
    exit_code(build_fleet(&Args::parse().endpoints).print())
}

/// Prints the error, if there is one, and returns the exit code.
#[allow(clippy::print_stderr, reason = "the standard output is for the document")]
fn exit_code(printed: Result<(), bramleywind_operator::FleetError>) -> ExitCode {
    match printed {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
