use std::io;

use bramleywind_types::InstanceId;
use snafu::Snafu;

use crate::{
    MAX_MESSAGES_PER_SECOND,
    wire::{PROTOCOL_VERSION, RefusalReason},
};

/// Reason for which a peer connection ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectionError {
    /// The TCP connection could not be established.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The h2 layer failed; this includes a connection that the peer closed.
    #[snafu(display("h2 connection failed: {source}"))]
    Transport {
        /// The error of the h2 layer.
        source: h2::Error,
    },
    /// The peer closed the stream.
    #[snafu(display("peer closed the stream"))]
    Closed,
    /// The peer announced a frame that exceeds the limit.
    #[snafu(display("frame of {length} bytes exceeds the limit of {limit} bytes"))]
    Oversize {
        /// The announced length in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer exceeded the message rate limit.
    #[snafu(display("peer sent more than {MAX_MESSAGES_PER_SECOND} messages per second"))]
    Flood,
    /// A message could not be decoded, or arrived out of order.
    #[snafu(display("peer sent an invalid message: {detail}"))]
    Malformed {
        /// What was wrong with the message.
        detail: Box<str>,
    },
    /// The peer uses another version of the protocol.
    #[snafu(display(
        "peer speaks protocol version {version}, this router {PROTOCOL_VERSION}; upgrade the older one"
    ))]
    Version {
        /// The version of the peer.
        version: u32,
    },
    /// The peer could not prove that it knows the fleet secret.
    #[snafu(display("peer `{instance}` does not know the fleet secret; check its secret file"))]
    Secret {
        /// The instance that the peer claimed to be.
        instance: InstanceId,
    },
    /// The peer refused the connection.
    #[snafu(display("peer refused the connection: {reason}"))]
    Refused {
        /// The reason that the peer gave.
        reason: RefusalReason,
    },
    /// The peer sent nothing for too long.
    #[snafu(display("peer was silent for too long"))]
    Silent,
    /// The peer did not read what was sent to it in time.
    #[snafu(display("peer did not read what was sent to it in time"))]
    Stalled,
    /// A newer connection of the same peer replaced this one.
    #[snafu(display("replaced by a newer connection of the same peer"))]
    Replaced,
    /// The dialed address belongs to this process itself.
    #[snafu(display("the address is this router's own"))]
    OwnAddress,
    /// The dialed peer is already connected at another address.
    #[snafu(display("peer `{instance}` is already connected at another address"))]
    Duplicate {
        /// The peer.
        instance: InstanceId,
    },
}

impl ConnectionError {
    /// Returns whether the peer violated a limit or the protocol, as opposed to being unreachable.
    pub fn is_violation(&self) -> bool {
        matches!(
            self,
            Self::Oversize { .. }
                | Self::Flood
                | Self::Malformed { .. }
                | Self::Version { .. }
                | Self::Secret { .. }
        )
    }
}
