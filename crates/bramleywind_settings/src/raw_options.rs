use std::{net::SocketAddr, time::Duration};

use bramleywind_config::OperatorPublicKey;
use bramleywind_types::{DataCentreId, InstanceId};
use serde::Deserialize;

use crate::{EndpointPolicy, LogSettings, PeerSeed, RouterLimits};

/// The default share of the traffic for an instance, relative to the other entry instances.
const DEFAULT_CAPACITY: u32 = 100;

/// The default maximum number of weight downloads per minute. Engines rarely load weights, and a store that serves
/// one download per second, as the stand-in does, keeps nine tenths of its rate for other clients.
const DEFAULT_WEIGHT_DOWNLOADS: u32 = 6;

/// The options as written in the file, without the secrets. The shape rules reject unknown keys.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct RawOptions {
    pub(crate) instance: InstanceId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) caller_listen: SocketAddr,
    pub(crate) caller_address: Option<SocketAddr>,
    pub(crate) peer_listen: SocketAddr,
    pub(crate) peer_address: Option<SocketAddr>,
    pub(crate) operator_listen: SocketAddr,
    #[serde(default = "default_capacity")]
    pub(crate) capacity: u32,
    pub(crate) store_address: SocketAddr,
    pub(crate) instance_list_address: SocketAddr,
    pub(crate) weight_store_address: Option<SocketAddr>,
    #[serde(default = "default_weight_downloads")]
    pub(crate) weight_downloads_per_minute: u32,
    #[serde(default)]
    pub(crate) peers: Vec<PeerSeed>,
    pub(crate) operator_public_key: OperatorPublicKey,
    #[serde(default)]
    pub(crate) endpoint_policy: EndpointPolicy,
    #[serde(default)]
    pub(crate) limits: RawLimits,
    #[serde(default)]
    pub(crate) log: LogSettings,
}

fn default_capacity() -> u32 {
    DEFAULT_CAPACITY
}

fn default_weight_downloads() -> u32 {
    DEFAULT_WEIGHT_DOWNLOADS
}

/// The limits as written in the file, with times in milliseconds.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RawLimits {
    header_bytes: Option<usize>,
    body_bytes: Option<usize>,
    request_read_timeout_ms: Option<u64>,
    request_timeout_ms: Option<u64>,
    queue_length: Option<usize>,
    drain_grace_ms: Option<u64>,
    drain_bound_ms: Option<u64>,
}

impl RawLimits {
    /// Returns the limits with defaults filled in.
    pub(crate) fn resolve(self) -> RouterLimits {
        let default = RouterLimits::default();
        let time = |ms: Option<u64>, default| ms.map_or(default, Duration::from_millis);
        RouterLimits {
            header_bytes: self.header_bytes.unwrap_or(default.header_bytes),
            body_bytes: self.body_bytes.unwrap_or(default.body_bytes),
            request_read_timeout: time(self.request_read_timeout_ms, default.request_read_timeout),
            request_timeout: time(self.request_timeout_ms, default.request_timeout),
            queue_length: self.queue_length.unwrap_or(default.queue_length),
            drain_grace: time(self.drain_grace_ms, default.drain_grace),
            drain_bound: time(self.drain_bound_ms, default.drain_bound),
        }
    }
}
