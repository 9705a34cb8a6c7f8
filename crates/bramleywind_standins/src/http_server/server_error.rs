use std::net::SocketAddr;

use snafu::Snafu;

/// The reason why a stand-in failed to start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StandinError {
    /// The address cannot be bound.
    #[snafu(display("cannot listen on `{address}`; choose a free port, or port 0 for any"))]
    Bind {
        /// The address that was requested.
        address: SocketAddr,
        /// The error from the operating system.
        source: std::io::Error,
    },
}

/// Tells the server to close the connection without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the stand-in closed the connection without a response"))]
pub struct ConnectionDropped;
