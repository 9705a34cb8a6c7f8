//! Prints the configuration of a fleet that serves umbrella repair shops. It has language model engines and an
//! ordering service for spare parts, whose orders must not be placed twice.
//!
//!     cargo run --example umbrella_menders -- \
//!         --endpoint engine-1=192.0.2.11:8080 --endpoint desk-1=192.0.2.31:8080

use std::process::ExitCode;

use bramleywind_operator::{
    EndpointAddress, EndpointSpec, Fleet, ModelSpec, ServiceSpec, WorkspaceSpec,
};
use clap::Parser;

const DATA_CENTRES: [&str; 3] = ["akl-a", "akl-b", "akl-c"];
const MODEL: &str = "weave-small";
const ORDERING_SERVICE: &str = "ordering-desk";

/// The workspaces and their prepaid tokens: three large ones and seven small ones.
const WORKSPACES: [(&str, u64); 10] = [
    ("queen-street-umbrellas", 4_000_000),
    ("harbour-brolly-works", 3_000_000),
    ("mission-bay-menders", 2_000_000),
    ("ponsonby-parasols", 200_000),
    ("devonport-canopies", 200_000),
    ("titirangi-ribs", 150_000),
    ("onehunga-handles", 150_000),
    ("remuera-rainwear", 100_000),
    ("newmarket-nylon", 100_000),
    ("waiheke-windproof", 2_000),
];

/// Prints the configuration of the umbrella menders' fleet.
#[derive(Debug, Parser)]
struct Args {
    /// The id and address of an endpoint; ids begin with `engine-` or `desk-`. May be repeated.
    #[arg(long = "endpoint", value_name = "ID=IP:PORT", required = true)]
    endpoints: Vec<EndpointAddress>,
}

/// Builds a workspace with one budget and one bearer key.
fn workspace_spec(name: &str, prepaid_tokens: u64) -> WorkspaceSpec {
    let budget = format!("{name}-2027");
    // These keys are for tests on the loopback interface. Real programs read keys from a file or use `key_hash`.
    WorkspaceSpec::new(name)
        .budget(&budget, prepaid_tokens)
        .key(&format!("{name}-example-key"), &budget)
        .may_use_model(MODEL)
        .may_use_service(ORDERING_SERVICE)
}

/// Builds an endpoint, and spreads endpoints over the data centres by the number at the end of their ids.
fn endpoint_spec(endpoint: &EndpointAddress) -> EndpointSpec {
    let id = endpoint.id.as_str();
    let number: usize = id.rsplit('-').next().and_then(|end| end.parse().ok()).unwrap_or(1);
    let data_centre = DATA_CENTRES[number.saturating_sub(1) % DATA_CENTRES.len()];
    let spec = if id.starts_with("desk-") {
        EndpointSpec::service(id, ORDERING_SERVICE).slots(4)
    } else {
        EndpointSpec::engine(id, [MODEL]).slots(8).checks_fencing()
    };
    spec.placed_in(data_centre).at(&endpoint.address.to_string())
}

/// Builds the fleet with these endpoints.
pub(crate) fn build_fleet(endpoints: &[EndpointAddress]) -> Fleet {
    Fleet::new()
        .model(ModelSpec::new(MODEL, 4_096))
        .service(
            ServiceSpec::new(ORDERING_SERVICE, 25)
                .non_idempotent_route("POST", "/orders")
                .idempotent_route("GET", "/orders"),
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
