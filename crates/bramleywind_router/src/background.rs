//! The tasks that run beside the requests, one for each duty.

mod config_watch;
mod funds_upkeep;
mod instance_poll;
mod load_poll;
mod member_scan;
mod peer_watch;
mod repeat_resolve;

pub use config_watch::{accept_config, watch_config};
pub use funds_upkeep::keep_funds;
pub use instance_poll::poll_instances;
pub use load_poll::poll_loads;
pub use member_scan::scan_members;
pub use peer_watch::watch_peers;
pub use repeat_resolve::resolve_repeats;
