use bramleywind_macros::domain_type;

/// Messages and bytes to and from one peer since the process started, over connections in both directions.
///
/// Bytes are those of the length-prefixed messages; h2 adds 9 for each data frame.
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
    /// Connections that were closed because the peer broke a limit or the protocol.
    pub violations: u64,
}
