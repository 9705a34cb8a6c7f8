//! How gateways keep their lists of endpoints current, and how old a list may be.
//!
//! In a large fleet a few gateways read the registry from the store. The others ask one of them, with digests of what they know,
//! and receive only the parts of the list that differ. An answer depends on nothing that was sent before, so any gateway can answer
//! any query.

mod copy_freshness;
mod fleet_messages;
mod list_digest;
mod list_gate;
mod list_messages;
mod listed_record;

pub use copy_freshness::CopyFreshness;
pub use fleet_messages::{FleetAnswer, FleetQuery};
pub use list_digest::{LIST_PARTS, ListDigest, differing_parts, part_of};
pub use list_gate::{ListGate, ListGateInput};
pub use list_messages::{ListAnswer, ListPart, ListQuery, MAX_QUERY_WAIT};
pub use listed_record::ListedRecord;
