use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, InstanceId};

use crate::WitnessId;

/// A live router that this router is connected to.
#[domain_type]
pub struct PeerRecord {
    /// The instance and process run of the router, which identify it as a witness.
    pub witness: WitnessId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// Whether the router is about to stop and should not become a witness.
    pub leaving: bool,
}

impl PeerRecord {
    /// Returns the instance of the router.
    pub fn instance(&self) -> &InstanceId {
        &self.witness.instance
    }
}
