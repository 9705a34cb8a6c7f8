use bramleywind_types::{DataCentreId, InstanceId};

use crate::LedgerClock;

/// The settings of a ledger.
#[derive(Debug, Clone)]
pub struct LedgerSettings {
    /// The instance that the process runs on, which names its member record.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The clock for delays and deadlines.
    pub clock: LedgerClock,
    /// The routers that take grants, and the size of the grants.
    pub grants: GrantPolicy,
}

/// The policy for which routers take grants, and of what size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum GrantPolicy {
    /// [`GrantPolicy::OwnGrants`] in a small fleet, [`GrantPolicy::PageHomes`] in a large one.
    #[default]
    BySize,
    /// Each router takes its own grants, of at least an equal part of the pool.
    OwnGrants,
    /// The home of a page takes grants by its use of the last ten seconds, and the other routers borrow.
    PageHomes,
}
