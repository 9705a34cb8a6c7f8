use std::time::Duration;

use bramleywind_standins::{EngineOptions, ListenArgs};
use bramleywind_types::ModelId;
use clap::{ArgAction, Parser};

/// Stand-in for a model engine; `POST /control` sets faults. A crash ends the program.
#[derive(Debug, Parser)]
pub(crate) struct EngineArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// A model that is loaded at the start; repeat for several.
    #[arg(long = "model", default_value = "standin")]
    models: Vec<ModelId>,
    /// The most requests that run at once.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// How fast one request that runs alone generates.
    #[arg(long, default_value_t = 200)]
    tokens_per_second: u32,
    /// How fast a prompt is read.
    #[arg(long, default_value_t = 10_000)]
    prefill_tokens_per_second: u32,
    /// How much of a request's speed is lost when all slots are taken, in percent.
    #[arg(long, default_value_t = 30)]
    slowdown_percent: u32,
    /// How many prompt tokens the prefix cache holds.
    #[arg(long, default_value_t = 16_384)]
    cache_tokens: u32,
    /// How old the load report is, in milliseconds.
    #[arg(long, default_value_t = 0)]
    load_lag_ms: u64,
    /// How late cache events are published, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cache_event_lag_ms: u64,
    /// Each event whose sequence is a multiple of this number is never published; zero for no gaps.
    #[arg(long, default_value_t = 0)]
    cache_event_gap: u64,
    /// A request whose messages contain this text crashes the engine.
    #[arg(long)]
    crash_marker: Option<Box<str>>,
    /// Whether an order with an old fencing token is refused.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    checks_fencing: bool,
    /// Answers end after this many tokens if the request allows more.
    #[arg(long)]
    stop_after: Option<u32>,
}

impl EngineArgs {
    pub(crate) fn into_options(self) -> EngineOptions {
        EngineOptions {
            listen: self.listen.listen,
            models: self.models,
            slots: self.slots,
            tokens_per_second: self.tokens_per_second,
            prefill_tokens_per_second: self.prefill_tokens_per_second,
            slowdown_percent: self.slowdown_percent,
            cache_tokens: self.cache_tokens,
            load_lag: Duration::from_millis(self.load_lag_ms),
            cache_event_lag: Duration::from_millis(self.cache_event_lag_ms),
            cache_event_gap: self.cache_event_gap,
            crash_marker: self.crash_marker,
            checks_fencing: self.checks_fencing,
            stop_after: self.stop_after,
            ..EngineOptions::default()
        }
    }
}
