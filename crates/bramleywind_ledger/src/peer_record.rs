use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, InstanceId};

use crate::WitnessId;

/// A live router, as the peer connections see it.
#[domain_type]
pub struct PeerRecord {
    /// The instance and the process run, by which the router can be named as a witness.
    pub witness: WitnessId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// Whether the router is about to stop, so that it should not become a witness.
    pub leaving: bool,
}

impl PeerRecord {
    /// The instance of the router.
    pub fn instance(&self) -> &InstanceId {
        &self.witness.instance
    }
}
