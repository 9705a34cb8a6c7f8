//! The daemon's command line.

use std::path::PathBuf;

use clap::Parser;

/// Routes requests of prepaid workspaces to their back ends.
#[derive(Debug, Parser)]
#[command(name = "bramleywindd", version)]
pub struct Args {
    /// The settings file: JSON, comments allowed.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,

    /// Only check the settings and exit.
    #[arg(long)]
    pub check: bool,

    /// Let the operator port cut links to peers with `POST /v1/faults`. For tests only.
    #[arg(long, hide = true)]
    pub allow_test_faults: bool,
}
