use std::path::PathBuf;

use clap::Parser;

/// The gateway daemon of a bramleywind fleet.
#[derive(Debug, Clone, Parser)]
#[command(version)]
pub struct Args {
    /// The settings file, JSON with comments.
    #[arg(long)]
    pub settings: PathBuf,
    /// Checks the settings and ends.
    #[arg(long)]
    pub check: bool,
}
