//! Selection of the endpoint for a request: pure functions without I/O or a clock.

mod candidate;
mod latency_placement;
mod placement_policy;

pub use candidate::Candidate;
pub use latency_placement::LatencyPlacement;
pub use placement_policy::{PlacementPolicy, PlacementRequest};
