//! Tasks that keep what the process believes up to date.

mod fleet_pause;
mod follow_config;
mod follow_endpoints;
mod keep_membership;
mod keep_presence;
mod store_contact;

use std::time::Duration;

pub(crate) use fleet_pause::FleetPause;
pub(crate) use follow_config::follow_config;
pub(crate) use follow_endpoints::follow_endpoints;
pub(crate) use keep_membership::keep_membership;
pub(crate) use keep_presence::keep_presence;
pub(crate) use store_contact::StoreContact;

/// How long one watch waits. A connection that is silently dead is noticed by the kernel's probes within three
/// seconds; this bounds the time if the probes are answered all the same.
const WATCH_TIME: Duration = Duration::from_secs(5);
