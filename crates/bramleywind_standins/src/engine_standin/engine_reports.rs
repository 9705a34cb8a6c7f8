//! The JSON documents of the load report, the orders, the counters and the cache events of an engine.

use std::collections::{BTreeMap, BTreeSet};

use bramleywind_macros::domain_type;
use bramleywind_types::{FencingToken, ModelId};

/// Whether an engine accepts new requests.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// The engine accepts new requests.
    Live,
    /// The engine finishes its requests and accepts no new ones.
    Leaving,
}

/// The load of an engine, as reported by `GET /v1/load` with a lag.
#[domain_type]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Generation speed of each request with the current number of running requests.
    pub tokens_per_second: u32,
    /// The loaded models.
    pub models: Vec<ModelId>,
    /// Whether the engine accepts new requests.
    pub state: EngineState,
}

/// The kind of an order.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model.
    LoadModel,
    /// Loads an adapter of a model.
    LoadAdapter,
    /// Loads a version of a model.
    LoadVersion,
    /// Changes the role of the engine.
    ChangeRole,
}

/// An order to an engine.
#[domain_type]
pub struct EngineOrder {
    /// The kind of the order.
    pub order: OrderKind,
    /// The model to load, or whose adapter or version to load.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// The adapter to load.
    #[serde(default)]
    pub adapter: Option<Box<str>>,
    /// The version to load.
    #[serde(default)]
    pub version: Option<Box<str>>,
    /// The new role.
    #[serde(default)]
    pub role: Option<Box<str>>,
    /// The fencing token of the lease that the sender holds.
    pub fencing: FencingToken,
}

impl EngineOrder {
    /// Returns whether the order has all fields that its kind requires.
    pub fn is_complete(&self) -> bool {
        match self.order {
            OrderKind::LoadModel => self.model.is_some(),
            OrderKind::LoadAdapter => self.model.is_some() && self.adapter.is_some(),
            OrderKind::LoadVersion => self.model.is_some() && self.version.is_some(),
            OrderKind::ChangeRole => self.role.is_some(),
        }
    }
}

/// An order that an engine received, and whether it was accepted.
#[domain_type]
pub struct OrderRecord {
    /// The order.
    pub order: EngineOrder,
    /// False if the order was refused because of an old fencing token.
    pub is_accepted: bool,
}

/// What an engine has loaded, and its role, as returned by `GET /v1/orders` without a lag.
#[domain_type]
#[derive(Default)]
pub struct EngineInventory {
    /// The loaded models.
    pub models: BTreeSet<ModelId>,
    /// The loaded adapters by model.
    pub adapters: BTreeMap<ModelId, BTreeSet<Box<str>>>,
    /// The loaded version of each model.
    pub versions: BTreeMap<ModelId, Box<str>>,
    /// The role, if an order has set one.
    pub role: Option<Box<str>>,
    /// The highest fencing token of the accepted orders.
    pub fencing: FencingToken,
}

/// The counters of an engine since it started; crashes do not reset them.
#[domain_type]
#[derive(Default)]
pub struct EngineStats {
    /// Requests that were added to the queue.
    pub requests_received: u64,
    /// Requests that started to run.
    pub requests_started: u64,
    /// Requests whose answer was generated completely.
    pub requests_finished: u64,
    /// Running or waiting requests that were cancelled because their client disconnected.
    pub requests_cancelled: u64,
    /// Generated tokens.
    pub tokens_generated: u64,
    /// Requests for which at least the beginning of the prompt was in the prefix cache.
    pub prefix_hits: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub prefix_hit_tokens: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// All received orders, in order of arrival.
    pub orders: Vec<OrderRecord>,
}

/// The kind of a change to a block of the prefix cache.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A change to the prefix cache.
#[domain_type]
pub struct CacheEvent {
    /// The sequence number, counted from one.
    pub sequence: u64,
    /// The kind of the change.
    pub kind: CacheEventKind,
    /// Hash of the words of the prompt up to the end of the block, in hexadecimal.
    pub prefix: Box<str>,
    /// The number of tokens up to the end of the block.
    pub tokens: u32,
}

/// The response of `GET /v1/cache-events`.
#[domain_type]
#[derive(Default)]
pub struct CacheEvents {
    /// The published events after the requested sequence number, in order and possibly with gaps.
    pub events: Vec<CacheEvent>,
}
