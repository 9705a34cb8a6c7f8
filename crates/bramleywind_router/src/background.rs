//! Background tasks of the router, one module per task.

mod config_watch;
mod instance_poll;
mod ledger_maintenance;
mod load_poll;
mod member_scan;
mod order_sending;
mod peer_watch;
mod repeat_resolve;

pub use config_watch::{accept_config, watch_config};
pub use instance_poll::poll_instances;
pub use ledger_maintenance::maintain_ledger;
pub use load_poll::poll_loads;
pub use member_scan::scan_members;
pub use order_sending::send_orders;
pub use peer_watch::watch_peers;
pub use repeat_resolve::resolve_repeats;
