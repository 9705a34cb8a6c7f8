//! Reconciles model engines with the configuration: determines which orders are missing, which process may
//! send them, and how fast the fleet may download weights.
//!
//! One process at a time dispatches orders. It holds a store lease with a fencing token. Every decision is a
//! function of values and the current time, so each rule of section 13 of the design can be tested without a
//! socket. The caller provides the HTTP client for the engines.
//!
//! # Effects of a paused lease holder
//!
//! A process can be paused between its last check of the lease and the write to the socket. It then sends at
//! most this one order after its lease has ended, since the lease is checked before every order. An engine
//! that checks fencing tokens refuses the order once it has received one from the new holder. An engine that
//! does not check them executes it:
//!
//! - Loading a model or an adapter adds one that only an earlier configuration asked for. No order unloads it,
//!   so it stays loaded, and a model is counted as unexpected.
//! - A version or a role may revert to that of an earlier configuration, until the current holder's next
//!   reconciliation round reads the engine's state and sends the order again.
//!
//! Orders are idempotent: they state the desired result rather than a change. A round reads the state of every
//! engine, so the effect of one late order lasts at most for the time of a round and of one order.

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
