//! Tests of real processes under the failures that users have named: kills, pauses, network partitions, store outages
//! and lost responses.
//!
//! Each test starts six routers in three data centres with the stand-ins, on free ports of the loopback interface.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod account;
mod at_most_once;
mod budget_failures;
mod configuration;
mod crashing_request;
mod double_failures;
mod leaving;
mod mixed_builds;
mod orders;
mod store_outage;
mod test_fleet;
