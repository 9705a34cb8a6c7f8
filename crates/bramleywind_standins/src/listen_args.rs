use std::net::SocketAddr;

use clap::Args;

/// The command-line option that all stand-in programs share.
#[derive(Debug, Clone, Args)]
pub struct ListenArgs {
    /// IP address and port to listen on; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}
