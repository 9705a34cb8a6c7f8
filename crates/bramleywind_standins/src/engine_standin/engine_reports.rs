//! The documents that an engine reports about itself. They are small, so they stand in one file.

use std::collections::{BTreeMap, BTreeSet};

use bramleywind_macros::domain_type;
use bramleywind_types::{FencingToken, ModelId};

/// Whether an engine takes new work.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It does.
    Live,
    /// It finishes its work and takes no more.
    Leaving,
}

/// An engine's load, as `GET /v1/load` reports it with a lag.
#[domain_type]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// The most that run at once.
    pub slots: u32,
    /// The speed of each request at this fill of the batch.
    pub tokens_per_second: u32,
    /// The models that are loaded.
    pub models: Vec<ModelId>,
    /// Whether the engine takes new work.
    pub state: EngineState,
}

/// What an order asks for.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the model.
    LoadModel,
    /// Load the adapter of the model.
    LoadAdapter,
    /// Load the version of the model.
    LoadVersion,
    /// Take on the role.
    ChangeRole,
}

/// An order to an engine.
#[domain_type]
pub struct EngineOrder {
    /// What is asked for.
    pub order: OrderKind,
    /// The model that it concerns.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// The adapter to load.
    #[serde(default)]
    pub adapter: Option<Box<str>>,
    /// The version to load.
    #[serde(default)]
    pub version: Option<Box<str>>,
    /// The role to take on.
    #[serde(default)]
    pub role: Option<Box<str>>,
    /// The fencing token of the sender's lease.
    pub fencing: FencingToken,
}

impl EngineOrder {
    /// Whether the order names all that its kind needs.
    pub fn is_complete(&self) -> bool {
        match self.order {
            OrderKind::LoadModel => self.model.is_some(),
            OrderKind::LoadAdapter => self.model.is_some() && self.adapter.is_some(),
            OrderKind::LoadVersion => self.model.is_some() && self.version.is_some(),
            OrderKind::ChangeRole => self.role.is_some(),
        }
    }
}

/// An order that an engine received, with what came of it.
#[domain_type]
pub struct OrderRecord {
    /// The order.
    pub order: EngineOrder,
    /// False if it was refused for an old fencing token.
    pub is_accepted: bool,
}

/// What orders have made of an engine, as `GET /v1/orders` returns it without a lag.
#[domain_type]
#[derive(Default)]
pub struct EngineInventory {
    /// The models that are loaded.
    pub models: BTreeSet<ModelId>,
    /// The adapters that are loaded, by model.
    pub adapters: BTreeMap<ModelId, BTreeSet<Box<str>>>,
    /// The versions that are loaded, by model.
    pub versions: BTreeMap<ModelId, Box<str>>,
    /// The role, once one was ordered.
    pub role: Option<Box<str>>,
    /// The highest fencing token that an accepted order carried.
    pub fencing: FencingToken,
}

/// What an engine has done since it started, crashes notwithstanding.
#[domain_type]
#[derive(Default)]
pub struct EngineStats {
    /// Requests that were taken into the queue.
    pub requests_received: u64,
    /// Requests that began to run.
    pub requests_started: u64,
    /// Requests that were generated to their end.
    pub requests_finished: u64,
    /// Requests, running or waiting, whose client went away.
    pub requests_cancelled: u64,
    /// Tokens of answers.
    pub tokens_generated: u64,
    /// Requests that found a part of their prompt in the cache.
    pub prefix_hits: u64,
    /// Prompt tokens that were found in the cache.
    pub prefix_hit_tokens: u64,
    /// Crashes.
    pub crashes: u64,
    /// Every order, in order of arrival.
    pub orders: Vec<OrderRecord>,
}

/// What happened to a block of the prefix cache.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// A change of the prefix cache.
#[domain_type]
pub struct CacheEvent {
    /// Counts up from one.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prompt's words up to the end of the block, in hexadecimal.
    pub prefix: Box<str>,
    /// How many tokens the prefix has.
    pub tokens: u32,
}

/// The answer of `GET /v1/cache-events`.
#[domain_type]
#[derive(Default)]
pub struct CacheEvents {
    /// The published events after the given one, in order, with gaps.
    pub events: Vec<CacheEvent>,
}
