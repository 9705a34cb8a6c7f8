use bramleywind_types::{DataCentreId, InstanceId};

use crate::LedgerClock;

/// What a keeper must know of its own process.
#[derive(Debug, Clone)]
pub struct LedgerSettings {
    /// The instance that the process runs on; names its member record.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// Where the time comes from.
    pub clock: LedgerClock,
    /// Who takes grants, and how large they are.
    pub grants: GrantPolicy,
}

/// Who takes grants, and how large they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum GrantPolicy {
    /// Each router takes an equal part of the pool in a small fleet, the homes of pages in a large one.
    #[default]
    BySize,
    /// Each router takes its own grants.
    OwnGrants,
    /// The home of a page takes grants after its use of the last seconds, and the others borrow.
    PageHomes,
}
