//! The tasks that run beside the requests, one for each duty.

mod config_watch;
mod instance_poll;
mod load_poll;

pub use config_watch::{accept_config, watch_config};
pub use instance_poll::poll_instances;
pub use load_poll::poll_loads;
