use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use bramleywind_types::ModelId;

/// How a stand-in for a model engine is built.
///
/// ```
/// use bramleywind_standins::EngineOptions;
///
/// let options = EngineOptions { slots: 2, ..EngineOptions::default() };
/// assert_eq!(options.models[0].as_str(), "standin");
/// ```
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// IP address and port to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The models that are loaded at the start.
    pub models: Vec<ModelId>,
    /// The most requests that run at once; more wait, by priority.
    pub slots: u32,
    /// How fast one request that runs alone generates.
    pub tokens_per_second: u32,
    /// How fast a prompt is read.
    pub prefill_tokens_per_second: u32,
    /// How much of a request's speed is lost when all slots are taken, in percent.
    pub slowdown_percent: u32,
    /// How many prompt tokens the prefix cache holds.
    pub cache_tokens: u32,
    /// How old the load report is.
    pub load_lag: Duration,
    /// How late cache events are published.
    pub cache_event_lag: Duration,
    /// Each event whose sequence is a multiple of this number is never published; zero for no gaps.
    pub cache_event_gap: u64,
    /// A request whose messages contain this text crashes the engine when it begins to run.
    pub crash_marker: Option<Box<str>>,
    /// How long the engine refuses connections after a crash.
    pub down_time: Duration,
    /// Whether an order with an old fencing token is refused.
    pub checks_fencing: bool,
    /// Answers end after this many tokens if `max_tokens` allows more.
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
