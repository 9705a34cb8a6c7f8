use std::path::PathBuf;

use clap::Parser;

/// The gateway daemon of a bramleywind fleet.
#[derive(Debug, Clone, Parser)]
#[command(version)]
pub struct Args {
    /// Path of the settings file (JSON with comments).
    #[arg(long)]
    pub settings: PathBuf,
    /// Checks the settings file and exits without starting the gateway.
    #[arg(long)]
    pub check: bool,
}
