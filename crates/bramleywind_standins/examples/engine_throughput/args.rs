use std::net::SocketAddr;

use clap::Parser;

/// Opens streams to an engine and counts the tokens that arrive.
#[derive(Debug, Parser)]
pub(crate) struct ThroughputArgs {
    /// The engine's address.
    #[arg(long)]
    pub(crate) address: SocketAddr,
    /// How many streams are open at once.
    #[arg(long, default_value_t = 400)]
    pub(crate) streams: u32,
    /// How long to count, in seconds.
    #[arg(long, default_value_t = 5)]
    pub(crate) seconds: u64,
}
