//! Which endpoint gets a request. Decisions only: no input, no output, no clock.

mod candidate;
mod latency_placement;
mod placement_policy;

pub use candidate::Candidate;
pub use latency_placement::LatencyPlacement;
pub use placement_policy::{PlacementPolicy, PlacementRequest};
