//! The interface to the platform that the gateway runs on: a store, and a codec for the heads of messages.

mod answer_head;
mod budget_change;
mod call_head;
mod event_id;
mod fleet_store;
mod part_id;
mod platform;
mod prompt_profile;
mod request_head;
mod store_outcomes;
mod wire_codec;

pub use answer_head::AnswerHead;
pub use budget_change::BudgetChange;
pub use call_head::CallHead;
pub use event_id::EventId;
pub use fleet_store::FleetStore;
pub use part_id::PartId;
pub use platform::Platform;
pub use prompt_profile::{PromptPart, PromptPrefix, PromptProfile};
pub use request_head::RequestHead;
pub use store_outcomes::{
    BudgetEntry, CommitOutcome, EntryChange, FleetListing, LeaseId, ListPage, LoadedConfig,
    MemberOutcome, PresenceOutcome, StoreChanges,
};
pub use wire_codec::WireCodec;
