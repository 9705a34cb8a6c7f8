//! Command-line arguments of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Routes the requests of prepaid workspaces to their endpoints.
#[derive(Debug, Parser)]
#[command(name = "bramleywindd", version)]
pub struct Args {
    /// Path of the settings file, in JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,

    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,

    /// Accept `POST /v1/faults` on the operator port, which cuts links to peers. For tests only.
    #[arg(long, hide = true)]
    pub allow_test_faults: bool,
}
