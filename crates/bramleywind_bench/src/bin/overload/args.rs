use std::path::PathBuf;

use clap::Parser;

/// Loads a fleet beyond its engines' capacity.
#[derive(Debug, Parser)]
pub(crate) struct OverloadArgs {
    /// The seed of the request lists.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// How long each load is kept up, after the warm-up, in seconds.
    #[arg(long, default_value_t = 12)]
    pub(crate) duration_s: u64,
    /// How long a request may take, in milliseconds.
    #[arg(long, default_value_t = 6_000)]
    pub(crate) deadline_ms: u64,
    /// The loads, in percent of the engines' capacity; the last one is the overload.
    #[arg(long = "load-percent", default_values_t = [80, 100, 120, 200])]
    pub(crate) load_percents: Vec<u32>,
    /// The capacity in requests a second, if it was measured before; else it is measured first.
    #[arg(long)]
    pub(crate) capacity: Option<f64>,
    /// The threads of the client.
    #[arg(long, default_value_t = 2)]
    pub(crate) threads: usize,
    /// Writes the table of loads to this file.
    #[arg(long)]
    pub(crate) csv: Option<PathBuf>,
}
