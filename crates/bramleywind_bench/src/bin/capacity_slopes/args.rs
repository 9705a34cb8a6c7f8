use clap::{Parser, ValueEnum};

/// Measures how the cost of a router grows with the size of the fleet, and extrapolates to the target size.
#[derive(Debug, Parser)]
pub struct Args {
    /// What to measure; all parts if none is given.
    #[arg(value_enum)]
    pub parts: Vec<Part>,
    /// Numbers of router processes of the idle part.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 12, 24, 48, 96])]
    pub sizes: Vec<usize>,
    /// Length of each measured window, in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Print comma-separated values instead of a table.
    #[arg(long)]
    pub csv: bool,
}

/// A part of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Sizes and processor time of single structures, in this process.
    Structures,
    /// Idle routers by their number, and the time from an accepted configuration to in force.
    Idle,
    /// Idle routers by the number of engines.
    Engines,
    /// One router by the number of budgets in the configuration.
    Budgets,
    /// What one request costs, by kind.
    Requests,
    /// The time until a dead router's slices are closed, by the number of pages.
    Reclaim,
    /// How much stays counted as spent after the loss of a router, a rack and a data centre.
    Losses,
    /// How often the survivors list the store's records after one death; takes four minutes.
    Listings,
}

impl Part {
    /// The parts to run: those that were asked for, or all.
    pub fn selected(asked: &[Self]) -> Vec<Self> {
        if asked.is_empty() { Self::value_variants().to_vec() } else { asked.to_vec() }
    }
}
