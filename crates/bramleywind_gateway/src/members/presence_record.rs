use std::{collections::BTreeMap, net::SocketAddr};

use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, WorkspaceId};

use crate::funds::Allowance;

/// A gateway's word on how many tokens of its grants it has spent at most. It outlasts the process.
#[domain_type]
pub struct PresenceRecord {
    /// The run of the process that wrote it.
    pub incarnation: IncarnationId,
    /// Where other gateways reach it.
    pub peer_address: SocketAddr,
    /// When it was written, in Unix milliseconds on which most instances agreed; nothing if they could not be asked.
    pub written_at_ms: Option<u64>,
    /// What the process may spend of its grant of each budget; nothing of those that are missing, at first. What it may spend
    /// grows with the age of this record.
    pub allowances: BTreeMap<WorkspaceId, Allowance>,
}
