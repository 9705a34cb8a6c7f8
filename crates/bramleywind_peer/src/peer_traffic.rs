use bramleywind_macros::domain_type;

/// Counts of messages and bytes exchanged with one peer since the process started, over the connections of both
/// directions.
///
/// The bytes are those of the length-prefixed messages; h2 adds 9 bytes for each data frame.
#[domain_type]
#[derive(Copy, Default)]
pub struct PeerTraffic {
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Connections that were closed because the peer violated a limit or the protocol.
    pub violations: u64,
}
