//! Stand-ins for the services of the platform that bramleywind runs on.
//!
//! Each stand-in is available in two forms: as a value that tests start on their own runtime and that stops
//! when it is dropped, and as a program for tests with separate processes. Faults are injected through typed
//! options or over HTTP.

mod engine_standin;
mod http_server;
mod instances_standin;
mod lagged_value;
mod listen_args;
mod program;
mod service_standin;
mod store_standin;
mod weights_standin;

pub use engine_standin::{
    CacheEvent, CacheEventKind, CacheEvents, ChatAnswer, ChatChoice, ChatDelta, ChatMessage,
    ChatRequest, ChatUsage, EngineFaults, EngineInventory, EngineOptions, EngineOrder,
    EngineStandin, EngineState, EngineStats, LEAVING_HEADER, LoadReport, OrderKind, OrderRecord,
    UsageFault,
};
pub use http_server::StandinError;
pub use instances_standin::{InstanceFaults, InstancesStandin};
pub use listen_args::ListenArgs;
pub use program::run_program;
pub use service_standin::{
    CRASH_HEADER, ServiceAnswer, ServiceExecutions, ServiceFaults, ServiceOptions, ServiceStandin,
};
pub use store_standin::StoreStandin;
pub use weights_standin::{WeightCounters, WeightsOptions, WeightsStandin};
