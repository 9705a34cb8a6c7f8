use std::{net::SocketAddr, path::Path, time::Duration};

use bramleywind_config::json::JsonSource;
use bramleywind_types::{DataCentreId, InstanceId};
use snafu::{OptionExt, ResultExt, ensure};

use super::{
    GatewaySettingsError, ListenAddresses, RetryLimits, StopTimes,
    raw_gateway_options::{RawGatewayOptions, RawInstanceLimits, RawProcessor},
    settings_error::{
        InstanceLimitsSnafu, LeavingBoundSnafu, ProcessorSnafu, RetryShareSnafu, SameAddressSnafu,
        StopGraceSnafu, UnreadableSnafu,
    },
};

use crate::{admission::InstanceLimits, members::ProcessorCapacity};

/// Fraction of the grace time after which new requests are refused. Callers refresh their list of gateways within
/// seconds, and streams that start later may not end before the process must exit.
const REFUSE_FRACTION: f64 = 0.3;

/// Part of the grace time reserved for returning grants after the last request, which takes a few store calls.
const GRANT_RETURN_MARGIN: Duration = Duration::from_millis(700);

/// The time that a request takes at most from the check of its endpoint until it reaches it.
const SEND_MARGIN: Duration = Duration::from_millis(300);

/// Maximum grace time in seconds. A larger value is most likely in another unit.
const MAX_GRACE_SECONDS: f64 = 3600.0;

/// The validated settings of the gateway.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct GatewaySettings {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// The addresses to listen on.
    pub listen: ListenAddresses,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The limits on retries.
    pub retries: RetryLimits,
    /// The processor capacity of the instance. Callers of a large fleet are sent to its largest instances.
    pub capacity: ProcessorCapacity,
    /// What the instance has for its requests.
    pub limits: InstanceLimits,
    /// The age of the list of endpoints up to which all its endpoints get requests.
    pub max_list_age: Duration,
    /// The timing of a planned stop.
    pub stop: StopTimes,
    /// The least severe level that is logged.
    #[serde(skip)]
    pub log_level: slog::Level,
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`GatewaySettingsError`] that says what is wrong and how to fix it.
    pub fn load(path: &Path) -> Result<Self, GatewaySettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::resolve(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`GatewaySettingsError`] that says what is wrong and how to fix it.
    ///
    /// ```
    /// use bramleywind_gateway::settings::GatewaySettings;
    ///
    /// let settings = GatewaySettings::resolve(r#"{
    ///     // One instance of the fleet.
    ///     "instance": "front-1", "data_centre": "north",
    ///     "listen": { "callers": "127.0.0.1:8000", "readiness": "127.0.0.1:8001",
    ///                 "entries": "127.0.0.1:8002", "peers": "127.0.0.1:8003",
    ///                 "metrics": "127.0.0.1:8004" },
    ///     "store_address": "127.0.0.1:9000",
    ///     "stop_grace_seconds": 8,
    ///     // Two retries for ten requests, and 52 extra.
    ///     "retries": { "share": 0.2, "extra": 52 }
    /// }"#).unwrap();
    /// assert_eq!(settings.stop.end_after.as_millis(), 7300);
    /// ```
    pub fn resolve(text: &str) -> Result<Self, GatewaySettingsError> {
        let raw: RawGatewayOptions = JsonSource::new(text)
            .deserialize()
            .map_err(|diagnostics| GatewaySettingsError::Invalid { diagnostics })?;
        let grace = raw.stop_grace_seconds;
        let is_usable = (1.0..=MAX_GRACE_SECONDS).contains(&grace);
        ensure!(is_usable, StopGraceSnafu { value: grace });
        let share = raw.retries.share;
        let retries = raw.retries.resolve().context(RetryShareSnafu { value: share })?;
        let RawProcessor { share, cores } = raw.processor;
        let capacity = raw.processor.resolve().context(ProcessorSnafu { share, cores })?;
        let RawInstanceLimits { memory_megabytes, link_megabits } = raw.limits;
        let limits = raw
            .limits
            .resolve()
            .context(InstanceLimitsSnafu { memory_megabytes, link_megabits })?;
        let listen = raw.listen;
        let addresses =
            [listen.callers, listen.readiness, listen.entries, listen.peers, listen.metrics];
        for (index, address) in addresses.iter().enumerate() {
            let is_repeated = addresses[..index].contains(address);
            ensure!(!is_repeated, SameAddressSnafu { address: *address });
        }
        let grace = Duration::from_secs_f64(grace);
        let bound = Duration::from_millis(raw.leaving_bound_milliseconds);
        ensure!(bound > SEND_MARGIN, LeavingBoundSnafu { value: raw.leaving_bound_milliseconds });
        Ok(Self {
            instance: raw.instance,
            data_centre: raw.data_centre,
            listen,
            store_address: raw.store_address,
            retries,
            capacity,
            limits,
            max_list_age: bound.saturating_sub(SEND_MARGIN),
            stop: StopTimes {
                refuse_after: grace.mul_f64(REFUSE_FRACTION),
                end_after: grace.saturating_sub(GRANT_RETURN_MARGIN),
            },
            log_level: raw.log_level.into(),
        })
    }
}
