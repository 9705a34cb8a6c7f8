use std::io;

use bramleywind_types::InstanceId;
use snafu::Snafu;

use crate::{
    MAX_MESSAGES_PER_SECOND,
    wire::{PROTOCOL_VERSION, RefusalReason},
};

/// Why a peer connection ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectionError {
    /// The connection could not be made.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The h2 layer failed, which includes that the peer closed the connection.
    #[snafu(display("h2 connection failed: {source}"))]
    Transport {
        /// The error of the h2 layer.
        source: h2::Error,
    },
    /// The peer closed the stream.
    #[snafu(display("peer closed the stream"))]
    Closed,
    /// The peer announced a frame over the limit.
    #[snafu(display("frame of {length} bytes is over the limit of {limit}"))]
    Oversize {
        /// The announced length in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer sent more messages than it may.
    #[snafu(display("peer sent more than {MAX_MESSAGES_PER_SECOND} messages per second"))]
    Flood,
    /// A message was not understood, or came out of order.
    #[snafu(display("peer sent a message that is not valid here: {detail}"))]
    Malformed {
        /// What was wrong.
        detail: Box<str>,
    },
    /// The peer speaks another version of the protocol.
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
        /// Who the peer claimed to be.
        instance: InstanceId,
    },
    /// The peer refused the connection.
    #[snafu(display("peer refused the connection: {reason}"))]
    Refused {
        /// The reason that it gave.
        reason: RefusalReason,
    },
    /// The peer did nothing for too long.
    #[snafu(display("peer was silent for too long"))]
    Silent,
    /// The peer did not take what was sent to it.
    #[snafu(display("peer did not read what was sent to it in time"))]
    Stalled,
    /// A newer connection of the same peer took the place of this one.
    #[snafu(display("a newer connection of the same peer took its place"))]
    Replaced,
    /// The dialed address is this process itself.
    #[snafu(display("the address is this router's own"))]
    OwnAddress,
    /// The dialed peer is already connected by another address.
    #[snafu(display("peer `{instance}` is already connected by another address"))]
    Duplicate {
        /// The peer.
        instance: InstanceId,
    },
}

impl ConnectionError {
    /// Whether the peer broke a limit or the protocol, as opposed to being unreachable.
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
