//! Which endpoint gets a request. Decisions only: no input, no output, no clock.

mod candidate;
mod home_placement;
mod placement_policy;

pub use candidate::Candidate;
pub use home_placement::HomePlacement;
pub use placement_policy::{PlacementPolicy, PlacementRequest};
