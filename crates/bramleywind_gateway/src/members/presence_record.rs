use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::IncarnationId;

/// A gateway's word that it has spent no standby tokens so far. It outlasts the process.
#[domain_type]
pub struct PresenceRecord {
    /// The run of the process that wrote it.
    pub incarnation: IncarnationId,
    /// Where other gateways reach it.
    pub peer_address: SocketAddr,
    /// When it was written, in Unix milliseconds on which most instances agreed; nothing if they could not be asked.
    pub written_at_ms: Option<u64>,
}
