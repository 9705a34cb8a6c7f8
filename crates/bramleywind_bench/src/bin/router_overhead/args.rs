use std::path::PathBuf;

use clap::Parser;

/// Measures the overhead of one router by calling the stand-in engines directly and through it.
#[derive(Debug, Parser)]
pub(crate) struct OverheadArgs {
    /// Seed of the generated calls.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Duration of each round of concurrent streams, in seconds.
    #[arg(long, default_value_t = 8)]
    pub(crate) round_s: u64,
    /// Number of pairs of rounds, each with one direct round and one through the router.
    #[arg(long, default_value_t = 3)]
    pub(crate) rounds: u32,
    /// Duration of the sustained load after the warm-up, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) sustained_s: u64,
    /// Number of concurrent streams in a round.
    #[arg(long, default_value_t = 200)]
    pub(crate) streams: usize,
    /// Number of engines.
    #[arg(long, default_value_t = 4)]
    pub(crate) engines: u32,
    /// Number of client threads.
    #[arg(long, default_value_t = 3)]
    pub(crate) threads: usize,
    /// Prepaid tokens of the workspace. The size of a slice grows with it, so a value far above what a run spends
    /// would hide the store writes.
    #[arg(long, default_value_t = 20_000_000)]
    pub(crate) prepaid_tokens: u64,
    /// File to which the results and their targets are written as CSV.
    #[arg(long)]
    pub(crate) csv: Option<PathBuf>,
}
