//! A model engine: continuous batching, prefix cache, load report, orders, and the ways in which it breaks.

mod chat_messages;
mod engine_core;
mod engine_faults;
mod engine_handler;
mod engine_options;
mod engine_reports;
mod generation;
mod prefix_cache;
mod token_text;

use std::{net::SocketAddr, rc::Rc};

pub use chat_messages::{ChatAnswer, ChatChoice, ChatDelta, ChatMessage, ChatRequest, ChatUsage};
use compio::runtime::JoinHandle;
use engine_core::EngineCore;
pub use engine_faults::{EngineFaults, UsageFault};
use engine_handler::EngineHandler;
pub use engine_handler::LEAVING_HEADER;
pub use engine_options::EngineOptions;
pub use engine_reports::{
    CacheEvent, CacheEventKind, CacheEvents, EngineInventory, EngineOrder, EngineState,
    EngineStats, LoadReport, OrderKind, OrderRecord,
};

use crate::http_server::{HttpServer, StandinError, down_switch};

/// A running stand-in for a model engine. It stops when it is dropped.
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
    core: Rc<EngineCore>,
    _scheduling: JoinHandle<()>,
}

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(options: EngineOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let (switch, downs) = down_switch();
        let (core, wakes) = EngineCore::new(options, switch);
        let handler = Rc::new(EngineHandler { core: core.clone() });
        let server = HttpServer::start(listen, handler, downs).await?;
        let scheduling = compio::runtime::spawn(core.clone().run(wakes));
        Ok(Self { server, core, _scheduling: scheduling })
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that are switched on.
    pub fn faults(&self) -> EngineFaults {
        self.core.faults()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.set_faults(faults);
    }

    /// What the engine has done.
    pub fn stats(&self) -> EngineStats {
        self.core.stats()
    }

    /// What orders have made of the engine.
    pub fn inventory(&self) -> EngineInventory {
        self.core.inventory()
    }

    /// Waits until the engine has crashed at least once.
    pub async fn crashed(&self) {
        self.core.crashed().await;
    }
}
