use std::{net::SocketAddr, num::NonZeroU32, time::Duration};

use crate::DispatchTiming;

/// What the duty is built from.
///
/// ```
/// use bramleywind_orders::{DispatchSettings, DispatchTiming, WeightStoreSettings};
///
/// let address = "192.0.2.100:7102".parse().unwrap();
/// let weight_store = WeightStoreSettings { address, downloads_per_minute: 6.try_into().unwrap() };
/// let timing = DispatchTiming::default();
/// let settings = DispatchSettings { holder: "entry-1".into(), weight_store: Some(weight_store), timing };
/// assert!(settings.timing.order_time < settings.timing.lease_time);
/// ```
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// The holder's name, shown by the store.
    pub holder: Box<str>,
    /// The weight store; without it, orders that need weights are not sent.
    pub weight_store: Option<WeightStoreSettings>,
    /// The times.
    pub timing: DispatchTiming,
}

/// The weight store.
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
    /// Its address.
    pub address: SocketAddr,
    /// The most downloads a minute that the whole fleet may cause.
    pub downloads_per_minute: NonZeroU32,
}

impl WeightStoreSettings {
    /// The time between two downloads.
    pub fn interval(&self) -> Duration {
        Duration::from_secs(60) / self.downloads_per_minute.get()
    }
}
