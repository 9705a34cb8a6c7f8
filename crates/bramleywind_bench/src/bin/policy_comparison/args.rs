use std::path::PathBuf;

use bramleywind_routing::PolicyKind;
use clap::Parser;

/// Compares the endpoint policies on the same request lists through the real daemons.
#[derive(Debug, Parser)]
pub(crate) struct ComparisonArgs {
    /// The seed of the request lists.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// How long each policy is loaded, after the warm-up, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) duration_s: u64,
    /// The load, in percent of the engines' joint capacity.
    #[arg(long, default_value_t = 80)]
    pub(crate) load_percent: u32,
    /// The deployments, by their number of engines; repeat for several.
    #[arg(long = "engines", default_values_t = [10, 20])]
    pub(crate) engines: Vec<usize>,
    /// The policies; repeat for several.
    #[arg(long = "policy", default_values_t = [
        PolicyKind::RoundRobin,
        PolicyKind::LeastReportedLoad,
        PolicyKind::TwoChoices,
        PolicyKind::PrefixAffinity,
    ])]
    pub(crate) policies: Vec<PolicyKind>,
    /// The joint capacity in requests a second, if it was measured before; else it is measured first.
    #[arg(long)]
    pub(crate) capacity: Option<f64>,
    /// The threads of the client.
    #[arg(long, default_value_t = 2)]
    pub(crate) threads: usize,
    /// Writes the table to this file.
    #[arg(long)]
    pub(crate) csv: Option<PathBuf>,
}
