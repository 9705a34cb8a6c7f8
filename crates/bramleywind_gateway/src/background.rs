//! Tasks that keep what the process believes up to date.

mod scaled_interval;
mod follow_config;
mod follow_endpoints;
mod maintain_membership;
mod maintain_presence;
mod dependency_tracker;

use std::time::Duration;

pub(crate) use scaled_interval::ScaledInterval;
pub(crate) use follow_config::follow_config;
pub(crate) use follow_endpoints::follow_endpoints;
pub(crate) use maintain_membership::maintain_membership;
pub(crate) use maintain_presence::maintain_presence;
pub(crate) use dependency_tracker::DependencyTracker;

/// How long one watch waits. A connection that is silently dead is noticed by the kernel's probes within three
/// seconds; this bounds the time if the probes are answered all the same.
const WATCH_TIME: Duration = Duration::from_secs(5);
