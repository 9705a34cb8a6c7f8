//! The gateway: forwards callers' requests by route to the endpoints of a platform's registry, within prepaid budgets.
//!
//! Decisions (grants, placement, retries, health) are made in modules without I/O, so that each can be tested without
//! sockets. The platform's names and wire formats are behind the traits of [`platform_api`]. Everything runs on one
//! thread, and shared state is never borrowed across an await.

pub mod admission;
mod args;
mod background;
pub mod config;
pub mod crashes;
mod daemon;
pub mod endpoints;
pub mod forward;
pub mod funds;
mod gateway;
mod gateway_log;
pub mod loans;
pub mod members;
pub mod metrics;
pub mod placement;
pub mod platform_api;
pub mod rate_limits;
pub mod registry;
pub mod settings;
mod state_dump;
pub mod witness;

pub use args::Args;
pub use daemon::{run_gateway, serve_until};
pub use gateway::{Gateway, StopPhase};
pub use gateway_log::new_logger;
