use bramleywind_types::{DataCentreId, InstanceId};

use crate::KeeperClock;

/// What a keeper must know of its own process.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// The instance that the process runs on; names its member record.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// Where the time comes from.
    pub clock: KeeperClock,
}
