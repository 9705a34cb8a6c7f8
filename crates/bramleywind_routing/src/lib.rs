//! Endpoint selection, queueing and retry limits for requests.
//!
//! Nothing in this crate opens a socket or reads a clock. Callers pass the current time, so that each decision can
//! be tested and measured in isolation.

mod endpoint_policy;
mod endpoint_state;
mod endpoint_table;
mod fair_queue;
mod load_report;
mod policies;
mod prefix_hash;
mod prefix_table;
mod retry_after_delay;
mod retry_budget;
mod route_request;
mod smoothed_value;

pub use endpoint_policy::{EndpointPolicy, PolicyKind};
pub use endpoint_state::EndpointState;
pub use endpoint_table::{EndpointTable, EndpointTableDump};
pub use fair_queue::{FairQueue, QueueRefusal, QueuedRequest};
pub use load_report::LoadReport;
pub use policies::{LeastReportedLoad, PrefixAffinity, RoundRobin, SelectedPolicy, TwoChoices};
pub use prefix_hash::PrefixHash;
pub use retry_after_delay::RetryAfterDelay;
pub use retry_budget::RetryBudget;
pub use route_request::RouteRequest;
pub use smoothed_value::SmoothedValue;
