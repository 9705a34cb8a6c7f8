use std::{net::SocketAddr, num::NonZeroU32, time::Duration};

use crate::DutyTiming;

/// What the duty is built from.
///
/// ```
/// use bramleywind_orders::{DutySettings, DutyTiming, WeightSettings};
///
/// let address = "192.0.2.100:7102".parse().unwrap();
/// let weights = WeightSettings { address, downloads_per_minute: 6.try_into().unwrap() };
/// let timing = DutyTiming::default();
/// let settings = DutySettings { holder: "entry-1".into(), weights: Some(weights), timing };
/// assert!(settings.timing.order_time < settings.timing.lease_time);
/// ```
#[derive(Debug, Clone)]
pub struct DutySettings {
    /// The holder's name, shown by the store.
    pub holder: Box<str>,
    /// The weight store; without it, orders that need weights are not sent.
    pub weights: Option<WeightSettings>,
    /// The times.
    pub timing: DutyTiming,
}

/// The weight store.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_orders::WeightSettings;
///
/// let address = "192.0.2.100:7102".parse().unwrap();
/// let weights = WeightSettings { address, downloads_per_minute: 6.try_into().unwrap() };
/// assert_eq!(weights.interval(), Duration::from_secs(10));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightSettings {
    /// Its address.
    pub address: SocketAddr,
    /// The most downloads a minute that the whole fleet may cause.
    pub downloads_per_minute: NonZeroU32,
}

impl WeightSettings {
    /// The time between two downloads.
    pub fn interval(&self) -> Duration {
        Duration::from_secs(60) / self.downloads_per_minute.get()
    }
}
