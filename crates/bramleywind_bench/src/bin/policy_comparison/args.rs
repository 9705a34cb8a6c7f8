use std::path::PathBuf;

use bramleywind_routing::PolicyKind;
use clap::Parser;

/// Compares the endpoint policies with the same calls through the real daemons.
#[derive(Debug, Parser)]
pub(crate) struct ComparisonArgs {
    /// Seed of the generated calls.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Duration of the load for each policy after the warm-up, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) duration_s: u64,
    /// Load in percent of the engines' total capacity.
    #[arg(long, default_value_t = 80)]
    pub(crate) load_percent: u32,
    /// Number of engines of a deployment; repeat the option for several deployments.
    #[arg(long = "engines", default_values_t = [10, 20])]
    pub(crate) engines: Vec<usize>,
    /// Endpoint policy to compare; repeat the option for several policies.
    #[arg(long = "policy", default_values_t = [
        PolicyKind::RoundRobin,
        PolicyKind::LeastReportedLoad,
        PolicyKind::TwoChoices,
        PolicyKind::PrefixAffinity,
    ])]
    pub(crate) policies: Vec<PolicyKind>,
    /// Total capacity of the engines in requests per second; measured first if not given.
    #[arg(long)]
    pub(crate) capacity: Option<f64>,
    /// Number of client threads.
    #[arg(long, default_value_t = 2)]
    pub(crate) threads: usize,
    /// File to which the table is written as CSV.
    #[arg(long)]
    pub(crate) csv: Option<PathBuf>,
}
