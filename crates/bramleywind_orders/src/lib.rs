//! Orders to model engines: which are missing, who may send them, and how fast weights may be fetched.
//!
//! One process at a time holds the duty, by a store lease with a fencing token. Every decision is a function
//! of values and the present time, so that each rule of section 13 of the design can be tested without a
//! socket. The HTTP link to the engines is the caller's.
//!
//! # What a holder that was paused can still do
//!
//! A process can be paused between its last look at the lease and the write to the socket. It then sends at
//! most that one order after its lease has ended, since every further order is decided anew. An engine that
//! checks fencing refuses it, once it has an order of the new holder. An engine that does not carries it out:
//!
//! - loading a model or an adapter adds what an earlier configuration asked for; there is no order to unload
//!   it, so it stays and is counted as unexpected;
//! - a version or a role may be set back to that of an earlier configuration, until the present holder's next
//!   round reads the engine's state and orders it again.
//!
//! Orders state the wanted result rather than a change, so a repeated one is harmless. A round reads the
//! state of every engine, so one late order costs at most the time of a round and of one order.

mod duty_lease;
mod duty_settings;
mod duty_timing;
mod engine_inventory;
mod engine_link;
mod engine_order;
mod missing_orders;
mod order_action;
mod order_duty;
mod rate_record;
mod rate_view;
mod round_report;
mod wanted_engine;
mod weight_permits;

pub use duty_lease::{DutyLease, SendDecision};
pub use duty_settings::{DutySettings, WeightSettings};
pub use duty_timing::DutyTiming;
pub use engine_inventory::EngineInventory;
pub use engine_link::{EngineLink, InventoryOutcome, OrderOutcome, SendWindow};
pub use engine_order::EngineOrder;
pub use missing_orders::{missing_orders, unexpected_models};
pub use order_action::OrderAction;
pub use order_duty::{LeaseChange, OrderDuty};
pub use rate_record::RateRecord;
pub use rate_view::{PermitDecision, RateView};
pub use round_report::{OrderResult, OrderStep, RoundReport};
pub use wanted_engine::WantedEngine;
pub use weight_permits::{PermitOutcome, WeightPermit, WeightPermits};
