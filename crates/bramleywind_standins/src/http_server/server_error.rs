use std::net::SocketAddr;

use snafu::Snafu;

/// Why a stand-in could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StandinError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on `{address}`; choose a free port, or port 0 for any"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
}

/// A handler's decision to break the connection in place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the stand-in dropped the connection"))]
pub struct ConnectionDropped;
