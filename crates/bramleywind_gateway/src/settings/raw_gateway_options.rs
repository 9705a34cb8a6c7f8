use std::net::SocketAddr;

use bramleywind_types::{DataCentreId, InstanceId};
use serde::Deserialize;

use super::{ListenAddresses, RetryLimits};
use crate::{
    admission::{InstanceLimits, LinkRate, MemorySize},
    members::ProcessorCapacity,
};

/// The settings file before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawGatewayOptions {
    pub instance: InstanceId,
    pub data_centre: DataCentreId,
    pub listen: ListenAddresses,
    pub store_address: SocketAddr,
    pub stop_grace_seconds: f64,
    pub retries: RawRetryLimits,
    #[serde(default = "default_leaving_bound")]
    pub leaving_bound_milliseconds: u64,
    #[serde(default)]
    pub processor: RawProcessor,
    #[serde(default)]
    pub limits: RawInstanceLimits,
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Endpoints that say that they leave go on serving for two seconds at least.
fn default_leaving_bound() -> u64 {
    2_000
}

/// The instance's processor before validation: `cores` cores, of which the process gets `share` each.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawProcessor {
    pub share: f64,
    pub cores: f64,
}

impl Default for RawProcessor {
    fn default() -> Self {
        Self { share: 1.0, cores: 1.0 }
    }
}

impl RawProcessor {
    /// Converts the capacity. Returns `None` if it is not positive and finite.
    pub(super) fn resolve(self) -> Option<ProcessorCapacity> {
        let cores = self.share * self.cores;
        (cores.is_finite() && cores > 0.0).then(|| ProcessorCapacity::from_cores(cores))
    }
}

/// The instance's limits before validation; a limit that is missing does not apply.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawInstanceLimits {
    pub memory_megabytes: Option<f64>,
    pub link_megabits: Option<f64>,
}

impl RawInstanceLimits {
    /// Converts the limits. Returns `None` if one of them is not positive and finite.
    pub(super) fn resolve(self) -> Option<InstanceLimits> {
        let is_valid = |value: &f64| value.is_finite() && *value > 0.0;
        if ![self.memory_megabytes, self.link_megabits].iter().flatten().all(is_valid) {
            return None;
        }
        Some(InstanceLimits {
            memory: self.memory_megabytes.map(MemorySize::from_megabytes),
            link: self.link_megabits.map(LinkRate::from_megabits),
        })
    }
}

/// The retry limits before validation: the share is a fraction.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRetryLimits {
    pub share: f64,
    pub extra: u32,
}

impl RawRetryLimits {
    /// Converts the limits. Returns `None` if the share is not within 0 and 1.
    pub(super) fn resolve(self) -> Option<RetryLimits> {
        let percent = (0.0..=1.0).contains(&self.share).then_some((self.share * 100.0) as u32)?;
        Some(RetryLimits { percent, extra: self.extra })
    }
}

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum LogLevel {
    Debug,
    #[default]
    Info,
    Warning,
    Error,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Debug => Self::Debug,
            LogLevel::Info => Self::Info,
            LogLevel::Warning => Self::Warning,
            LogLevel::Error => Self::Error,
        }
    }
}
