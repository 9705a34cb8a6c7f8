use clap::{Parser, ValueEnum};

/// Measures how the costs of a router grow with the size of the fleet, and extrapolates them to the target size.
#[derive(Debug, Parser)]
pub struct Args {
    /// Parts to measure; all if none is given.
    #[arg(value_enum)]
    pub parts: Vec<Part>,
    /// Numbers of router processes in the idle part.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 12, 24, 48, 96])]
    pub sizes: Vec<usize>,
    /// Length of each measured window, in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Print comma-separated values instead of a table.
    #[arg(long)]
    pub csv: bool,
}

/// A part of the measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Sizes and processor time of single data structures, measured in this process.
    Structures,
    /// Idle routers by their number, and the time until an accepted configuration is in force.
    Idle,
    /// Idle routers by the number of engines.
    Engines,
    /// One router by the number of budgets in the configuration.
    Budgets,
    /// The costs of one request, by kind.
    Requests,
    /// The time until the slices of a dead router are closed, by the number of budget pages.
    Reclaim,
    /// The tokens that stay counted as spent after the loss of a router, a rack and a data centre.
    Losses,
    /// How often the other routers list the records of the store after one router died; takes four minutes.
    Listings,
}

impl Part {
    /// Returns the requested parts, or all parts if none was requested.
    pub fn selected(asked: &[Self]) -> Vec<Self> {
        if asked.is_empty() { Self::value_variants().to_vec() } else { asked.to_vec() }
    }
}
