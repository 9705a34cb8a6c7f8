use std::net::SocketAddr;

use clap::Args;

/// The option that every stand-in's program takes.
#[derive(Debug, Clone, Args)]
pub struct ListenArgs {
    /// IP address and port to listen on; port 0 takes any free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}
