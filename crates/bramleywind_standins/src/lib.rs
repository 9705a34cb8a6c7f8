//! Stand-ins for the platform that bramleywind runs on.
//!
//! Each is a value that tests start on their own runtime and that stops when dropped, and a program for
//! trials with separate processes. Faults are switched on by typed options or by HTTP.

mod http_server;
mod listen_args;
mod program;
mod store_standin;

pub use http_server::StandinError;
pub use listen_args::ListenArgs;
pub use program::run_program;
pub use store_standin::StoreStandin;
