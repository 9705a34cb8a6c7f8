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

mod dispatch_lease;
mod dispatch_settings;
mod dispatch_timing;
mod download_limiter;
mod engine_client;
mod engine_inventory;
mod engine_order;
mod missing_orders;
mod order_action;
mod order_dispatcher;
mod rate_record;
mod rate_tracker;
mod reconcile_report;
mod wanted_engine;

pub use dispatch_lease::{DispatchLease, SendDecision};
pub use dispatch_settings::{DispatchSettings, WeightStoreSettings};
pub use dispatch_timing::DispatchTiming;
pub use download_limiter::{DownloadLimiter, DownloadPermit, PermitOutcome};
pub use engine_client::{EngineClient, InventoryOutcome, OrderOutcome, SendWindow};
pub use engine_inventory::EngineInventory;
pub use engine_order::EngineOrder;
pub use missing_orders::{missing_orders, unexpected_models};
pub use order_action::OrderAction;
pub use order_dispatcher::{LeaseChange, OrderDispatcher};
pub use rate_record::RateRecord;
pub use rate_tracker::{PermitDecision, RateTracker};
pub use reconcile_report::{OrderResult, OrderStep, ReconcileReport};
pub use wanted_engine::WantedEngine;
