use std::net::SocketAddr;

use clap::Parser;

/// Opens streams to an engine and measures the rate of the tokens that arrive.
#[derive(Debug, Parser)]
pub(crate) struct ThroughputArgs {
    /// Address of the engine.
    #[arg(long)]
    pub(crate) address: SocketAddr,
    /// Number of concurrent streams.
    #[arg(long, default_value_t = 400)]
    pub(crate) streams: u32,
    /// Duration of the measurement, in seconds.
    #[arg(long, default_value_t = 5)]
    pub(crate) seconds: u64,
}
