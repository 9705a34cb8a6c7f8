//! Background tasks that keep the state of the process in sync with the store.

mod dependency_tracker;
mod follow_config;
mod follow_endpoints;
mod judge_parts;
mod list_follower;
mod maintain_membership;
mod maintain_presence;
mod notice_delivery;
mod raise_ceilings;
mod report_traffic;
mod return_silent_holders;
mod scaled_interval;
mod spread_crash_news;
mod spread_rate_news;

use std::time::Duration;

pub(crate) use dependency_tracker::DependencyTracker;
pub(crate) use follow_config::follow_config;
pub(crate) use follow_endpoints::follow_endpoints;
pub(crate) use judge_parts::judge_parts;
pub(crate) use maintain_membership::maintain_membership;
pub(crate) use maintain_presence::maintain_presence;
pub(crate) use raise_ceilings::raise_ceilings;
pub(crate) use report_traffic::report_traffic;
pub(crate) use return_silent_holders::return_silent_holders;
pub(crate) use scaled_interval::ScaledInterval;
pub(crate) use spread_crash_news::spread_crash_news;
pub(crate) use spread_rate_news::spread_rate_news;

/// The duration of one watch. Its end shows that nothing has changed, so it bounds the age of what is known, also if the store no
/// longer knows the watch.
const WATCH_TIME: Duration = Duration::from_millis(900);

/// The minimum duration of a watch.
const MIN_WATCH_TIME: Duration = Duration::from_millis(50);

/// The age up to which what another gateway knows is as good as what the store has.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(1_500);

/// The number of gateways that are asked in turn for what they have read from the store.
const MAX_READERS_ASKED: usize = 2;
