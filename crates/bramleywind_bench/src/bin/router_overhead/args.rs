use std::path::PathBuf;

use clap::Parser;

/// Measures what one router adds to calls of the stand-in engines, both in one run.
#[derive(Debug, Parser)]
pub(crate) struct OverheadArgs {
    /// The seed of the request lists.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// How long each round of concurrent streams takes, in seconds.
    #[arg(long, default_value_t = 8)]
    pub(crate) round_s: u64,
    /// How many pairs of rounds are run, one direct and one through the router.
    #[arg(long, default_value_t = 3)]
    pub(crate) rounds: u32,
    /// How long the sustained load takes, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) sustained_s: u64,
    /// The streams that run at once in a round.
    #[arg(long, default_value_t = 200)]
    pub(crate) streams: usize,
    /// The engines.
    #[arg(long, default_value_t = 4)]
    pub(crate) engines: u32,
    /// The threads of the client.
    #[arg(long, default_value_t = 3)]
    pub(crate) threads: usize,
    /// What the workspace has paid in, in tokens. A slice grows with it, so a much larger one than a run spends
    /// would hide the store writes.
    #[arg(long, default_value_t = 20_000_000)]
    pub(crate) prepaid_tokens: u64,
    /// Writes the figures and their targets to this file.
    #[arg(long)]
    pub(crate) csv: Option<PathBuf>,
}
