//! Starts the real daemon, the stand-ins and the command-line tool as processes on loopback.
//!
//! The demo, the failure tests and the benchmarks share this crate, so that all of them run the programs that users
//! run. It simulates nothing: it only starts, signals and stops processes, and calls them over HTTP.

mod child_process;
mod fleet_error;
mod fleet_plan;
mod http_caller;
mod local_fleet;
mod port_reservation;
mod program_path;
mod sse_response;
mod wait;

pub use child_process::{ChildProcess, ProcessSignal};
pub use fleet_error::FleetError;
pub use fleet_plan::{EnginePlan, FleetPlan, RouterPlan, ServicePlan};
pub use http_caller::{CallResponse, HttpCaller};
pub use local_fleet::{EndpointProcess, LocalFleet, RouterProcess};
pub use port_reservation::PortReservation;
pub use program_path::program_path;
pub use sse_response::{SseEnd, SseResponse};
pub use wait::wait_until;
