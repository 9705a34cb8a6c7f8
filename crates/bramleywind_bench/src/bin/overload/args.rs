use std::path::PathBuf;

use clap::Parser;

/// Measures a fleet under loads beyond the capacity of its engines.
#[derive(Debug, Parser)]
pub(crate) struct OverloadArgs {
    /// Seed of the generated calls.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Duration of each load after the warm-up, in seconds.
    #[arg(long, default_value_t = 12)]
    pub(crate) duration_s: u64,
    /// Request timeout of the routers, in milliseconds.
    #[arg(long, default_value_t = 6_000)]
    pub(crate) deadline_ms: u64,
    /// Load in percent of the engines' capacity; repeat the option for several loads, the last of which is the
    /// overload.
    #[arg(long = "load-percent", default_values_t = [80, 100, 120, 200])]
    pub(crate) load_percents: Vec<u32>,
    /// Capacity of the engines in requests per second; measured first if not given.
    #[arg(long)]
    pub(crate) capacity: Option<f64>,
    /// Number of client threads.
    #[arg(long, default_value_t = 2)]
    pub(crate) threads: usize,
    /// File to which the table of loads is written as CSV.
    #[arg(long)]
    pub(crate) csv: Option<PathBuf>,
}
