//! Witnesses of spent tokens.
//!
//! A process that draws grants names another gateway in its presence record: its witness. It spends tokens of its grants only up to
//! ceilings that the witness has confirmed. The witness therefore knows what an ended process can have spent at most, also if that
//! process has no successor on its instance, and no clock has to be compared.

mod holder_link;
mod witness_messages;
mod witness_record;
mod witness_registry;

pub use holder_link::HolderLink;
pub use witness_messages::{SpendCeilings, WitnessClaim, WitnessReply, WitnessRequest};
pub use witness_record::WitnessRecord;
pub use witness_registry::{SilentHolder, WitnessRegistry};
