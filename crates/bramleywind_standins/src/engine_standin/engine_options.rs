use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use bramleywind_types::ModelId;

/// The options of a stand-in for a model engine.
///
/// ```
/// use bramleywind_standins::EngineOptions;
///
/// let options = EngineOptions { slots: 2, ..EngineOptions::default() };
/// assert_eq!(options.models[0].as_str(), "standin");
/// ```
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// IP address and port to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Models that are loaded at the start.
    pub models: Vec<ModelId>,
    /// Maximum number of requests that run at once; further requests wait in a queue, ordered by priority.
    pub slots: u32,
    /// Generation speed of a single request that runs alone, in tokens per second.
    pub tokens_per_second: u32,
    /// Speed at which a prompt is processed, in tokens per second.
    pub prefill_tokens_per_second: u32,
    /// Loss of speed of each request when all slots are in use, in percent.
    pub slowdown_percent: u32,
    /// Capacity of the prefix cache, in prompt tokens.
    pub cache_tokens: u32,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Delay before cache events are published.
    pub cache_event_lag: Duration,
    /// Cache events whose sequence number is a multiple of this are never published; zero for no gaps.
    pub cache_event_gap: u64,
    /// Text that crashes the engine when a request whose messages contain it starts to run.
    pub crash_marker: Option<Box<str>>,
    /// Time for which the engine refuses connections after a crash.
    pub down_time: Duration,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Maximum number of tokens of an answer, if `max_tokens` allows more.
    pub stop_after: Option<u32>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: "standin".parse().into_iter().collect(),
            slots: 16,
            tokens_per_second: 200,
            prefill_tokens_per_second: 10_000,
            slowdown_percent: 30,
            cache_tokens: 16_384,
            load_lag: Duration::ZERO,
            cache_event_lag: Duration::ZERO,
            cache_event_gap: 0,
            crash_marker: None,
            down_time: Duration::from_secs(1),
            checks_fencing: true,
            stop_after: None,
        }
    }
}
