use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, IncarnationId, InstanceId};

use crate::WitnessId;

/// The stored record of one router: the incarnation that may spend and its witnesses.
#[domain_type]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// The instance of the router.
    pub instance: InstanceId,
    /// The incarnation that may spend.
    pub incarnation: IncarnationId,
    /// The process run of the router.
    pub run: IncarnationId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The witnesses that hold copies of the incarnation's journal.
    pub witnesses: Vec<WitnessId>,
    /// Whether a reclaimer has sealed the incarnation, which can then no longer change its witnesses.
    pub sealed: bool,
    /// The witnesses of earlier incarnations of the instance whose slices may still be open. Like a sealed
    /// incarnation, these can no longer change their witnesses.
    pub superseded: BTreeMap<IncarnationId, Vec<WitnessId>>,
}

impl MemberRecord {
    /// Parses a store value.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a member record in the current format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Serializes the record to a store value.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("member records have string keys only")
    }

    /// Returns the witnesses of an incarnation that can no longer change them, or `None` if it still can or
    /// is unknown. A returned list stays valid forever, even if the record came from a stale read.
    pub fn final_witnesses(&self, incarnation: IncarnationId) -> Option<&[WitnessId]> {
        if self.incarnation == incarnation {
            return self.sealed.then_some(&self.witnesses);
        }
        self.superseded.get(&incarnation).map(Vec::as_slice)
    }
}
