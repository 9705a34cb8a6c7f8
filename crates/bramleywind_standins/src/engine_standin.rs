//! A model engine with continuous batching, a prefix cache, load reports, orders and injected faults.

mod chat_messages;
mod engine_faults;
mod engine_handler;
mod engine_options;
mod engine_reports;
mod engine_scheduler;
mod generation;
mod prefix_cache;
mod token_text;

use std::{net::SocketAddr, rc::Rc};

pub use chat_messages::{ChatAnswer, ChatChoice, ChatDelta, ChatMessage, ChatRequest, ChatUsage};
use compio::runtime::JoinHandle;
pub use engine_faults::{EngineFaults, UsageFault};
use engine_handler::EngineHandler;
pub use engine_handler::LEAVING_HEADER;
pub use engine_options::EngineOptions;
pub use engine_reports::{
    CacheEvent, CacheEventKind, CacheEvents, EngineInventory, EngineOrder, EngineState,
    EngineStats, LoadReport, OrderKind, OrderRecord,
};
use engine_scheduler::EngineScheduler;

use crate::http_server::{HttpServer, StandinError, outage_channel};

/// A running stand-in for a model engine. Dropping it stops it.
///
/// ```
/// use bramleywind_standins::{EngineOptions, EngineStandin};
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let engine = EngineStandin::start(EngineOptions::default()).await.unwrap();
///     assert_eq!(engine.stats().requests_started, 0);
/// });
/// ```
#[derive(Debug)]
pub struct EngineStandin {
    server: HttpServer,
    scheduler: Rc<EngineScheduler>,
    _scheduler_task: JoinHandle<()>,
}

impl EngineStandin {
    /// Starts a stand-in with the given options.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address cannot be bound.
    pub async fn start(options: EngineOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let (outage_sender, outage_receiver) = outage_channel();
        let (scheduler, wake_receiver) = EngineScheduler::new(options, outage_sender);
        let handler = Rc::new(EngineHandler { scheduler: scheduler.clone() });
        let server = HttpServer::start(listen, handler, outage_receiver).await?;
        let scheduler_task = compio::runtime::spawn(scheduler.clone().run(wake_receiver));
        Ok(Self { server, scheduler, _scheduler_task: scheduler_task })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> EngineFaults {
        self.scheduler.faults()
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.scheduler.set_faults(faults);
    }

    /// Returns the counters of the engine.
    pub fn stats(&self) -> EngineStats {
        self.scheduler.stats()
    }

    /// Returns what the engine has loaded, and its role, after the orders so far.
    pub fn inventory(&self) -> EngineInventory {
        self.scheduler.inventory()
    }

    /// Waits until the engine has crashed at least once.
    pub async fn wait_for_crash(&self) {
        self.scheduler.wait_for_crash().await;
    }
}
