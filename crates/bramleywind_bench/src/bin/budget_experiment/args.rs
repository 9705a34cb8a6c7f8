use clap::Parser;

/// Compares ways of sharing prepaid budgets between six routers, in simulated time.
#[derive(Debug, Parser)]
pub struct Args {
    /// Seeds of the request lists; each seed gives one set of rows.
    #[arg(default_values_t = [1, 2, 3])]
    pub seeds: Vec<u64>,
    /// Simulated duration of a run, in seconds.
    #[arg(long, default_value_t = 240)]
    pub seconds: u64,
    /// Print comma-separated values instead of a table.
    #[arg(long)]
    pub csv: bool,
}
