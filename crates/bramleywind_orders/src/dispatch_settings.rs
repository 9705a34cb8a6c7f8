use std::{net::SocketAddr, num::NonZeroU32, time::Duration};

use crate::DispatchTiming;

/// The settings of an [`OrderDispatcher`](crate::OrderDispatcher).
///
/// ```
/// use bramleywind_orders::{DispatchSettings, DispatchTiming, WeightStoreSettings};
///
/// let address = "192.0.2.100:7102".parse().unwrap();
/// let weight_store = WeightStoreSettings { address, downloads_per_minute: 6.try_into().unwrap() };
/// let timing = DispatchTiming::default();
/// let settings = DispatchSettings { holder: "entry-1".into(), weight_store: Some(weight_store), timing };
/// assert!(settings.timing.order_timeout < settings.timing.lease_time);
/// ```
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// The name of the lease holder, passed to the store for diagnostics.
    pub holder: Box<str>,
    /// The weight store. Without one, orders that need weights are not sent.
    pub weight_store: Option<WeightStoreSettings>,
    /// The intervals and time limits.
    pub timing: DispatchTiming,
}

/// The address of the weight store and the download rate that the fleet may cause there.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_orders::WeightStoreSettings;
///
/// let address = "192.0.2.100:7102".parse().unwrap();
/// let weight_store = WeightStoreSettings { address, downloads_per_minute: 6.try_into().unwrap() };
/// assert_eq!(weight_store.interval(), Duration::from_secs(10));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightStoreSettings {
    /// The address of the weight store.
    pub address: SocketAddr,
    /// The maximum downloads per minute of the whole fleet.
    pub downloads_per_minute: NonZeroU32,
}

impl WeightStoreSettings {
    /// Returns the minimum time between two downloads.
    pub fn interval(&self) -> Duration {
        Duration::from_secs(60) / self.downloads_per_minute.get()
    }
}
