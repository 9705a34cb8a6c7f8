use std::time::Duration;

use bramleywind_standins::{EngineOptions, ListenArgs};
use bramleywind_types::ModelId;
use clap::{ArgAction, Parser};

/// Stand-in for a model engine. `POST /control` sets faults; a crash ends the program.
#[derive(Debug, Parser)]
pub(crate) struct EngineArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// Model that is loaded at the start; repeat the option for several models.
    #[arg(long = "model", default_value = "standin")]
    models: Vec<ModelId>,
    /// Maximum number of requests that run at once.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Generation speed of a single request that runs alone, in tokens per second.
    #[arg(long, default_value_t = 200)]
    tokens_per_second: u32,
    /// Speed at which a prompt is processed, in tokens per second.
    #[arg(long, default_value_t = 10_000)]
    prefill_tokens_per_second: u32,
    /// Loss of speed of each request when all slots are in use, in percent.
    #[arg(long, default_value_t = 30)]
    slowdown_percent: u32,
    /// Capacity of the prefix cache, in prompt tokens.
    #[arg(long, default_value_t = 16_384)]
    cache_tokens: u32,
    /// Age of the load report, in milliseconds.
    #[arg(long, default_value_t = 0)]
    load_lag_ms: u64,
    /// Delay before cache events are published, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cache_event_lag_ms: u64,
    /// Cache events whose sequence number is a multiple of this are never published; zero for no gaps.
    #[arg(long, default_value_t = 0)]
    cache_event_gap: u64,
    /// Text that crashes the engine when a request whose messages contain it starts to run.
    #[arg(long)]
    crash_marker: Option<Box<str>>,
    /// Whether orders with an old fencing token are refused.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    checks_fencing: bool,
    /// Maximum number of tokens of an answer, if the request allows more.
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
