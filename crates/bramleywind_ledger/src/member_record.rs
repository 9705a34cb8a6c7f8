use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, IncarnationId, InstanceId};

use crate::WitnessId;

/// The store's record of one router: which incarnation may spend, and who witnesses it.
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
    /// Who holds copies of the incarnation's journal.
    pub witnesses: Vec<WitnessId>,
    /// Whether a reclaimer has stopped the incarnation from changing its witnesses.
    pub sealed: bool,
    /// Earlier incarnations of the instance, whose slices may not be closed yet, with their witnesses. An
    /// incarnation that stands here can't change its witnesses, as if it were marked as sealed.
    pub superseded: BTreeMap<IncarnationId, Vec<WitnessId>>,
}

impl MemberRecord {
    /// Reads a store value.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a record of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The store value.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has text keys only")
    }

    /// The witnesses of an incarnation that can no longer change them, or nothing if it still can or is
    /// not known. An answer remains right for ever, also if the record was read from a stale copy.
    pub fn final_witnesses(&self, incarnation: IncarnationId) -> Option<&[WitnessId]> {
        if self.incarnation == incarnation {
            return self.sealed.then_some(&self.witnesses);
        }
        self.superseded.get(&incarnation).map(Vec::as_slice)
    }
}
