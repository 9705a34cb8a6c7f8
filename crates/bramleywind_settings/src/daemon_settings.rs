use std::{net::SocketAddr, path::Path};

use bramleywind_config::{
    DiagnosticList, OperatorPublicKey,
    json::{JsonSource, Report, check_shape},
};
use bramleywind_types::{DataCentreId, InstanceId};
use snafu::ResultExt;

use crate::{
    EndpointPolicy, LogSettings, PeerSeed, ProcessSecrets, RouterLimits, Secret, SecretSource,
    SettingsError,
    options_shape::OPTIONS_SHAPE,
    raw_options::RawOptions,
    rules::{self, OPTIONS_RULES},
    settings_error::UnreadableSnafu,
};

/// The validated settings of `bramleywindd`. They can be serialized for a dump, in which secrets appear as `hidden`.
#[derive(Debug, Clone, serde::Serialize)]
pub struct DaemonSettings {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The data centre in which this instance runs.
    pub data_centre: DataCentreId,
    /// The address on which to listen for callers.
    pub caller_listen: SocketAddr,
    /// The address that is advertised to callers.
    pub caller_address: SocketAddr,
    /// The address on which to listen for peers.
    pub peer_listen: SocketAddr,
    /// The address that is advertised to peers.
    pub peer_address: SocketAddr,
    /// The address on which to listen for operators.
    pub operator_listen: SocketAddr,
    /// The share of the traffic for this instance, relative to the other entry instances.
    pub capacity: u32,
    /// The address of the key-value store.
    pub store_address: SocketAddr,
    /// The address of the instance list service.
    pub instance_list_address: SocketAddr,
    /// The address of the weight store. Without it, engines receive no orders that need weights.
    pub weight_store_address: Option<SocketAddr>,
    /// The maximum number of weight downloads per minute that orders may cause in the whole fleet.
    pub weight_downloads_per_minute: u32,
    /// The other routers to connect to at startup. This instance is never among them.
    pub peers: Vec<PeerSeed>,
    /// The shared secret with which routers authenticate to each other.
    pub fleet_secret: Secret,
    /// The bearer token of the operator port.
    pub operator_token: Secret,
    /// The public key with which configurations are verified.
    pub operator_public_key: OperatorPublicKey,
    /// The policy for choosing an endpoint.
    pub endpoint_policy: EndpointPolicy,
    /// The limits on requests and on draining.
    pub limits: RouterLimits,
    /// The format and level of log lines.
    pub log: LogSettings,
}

impl DaemonSettings {
    /// Reads a settings file, and reads its secrets from files and the environment.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read, or with all errors in the file if it is invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::resolve(&text, &ProcessSecrets)
            .map_err(|diagnostics| SettingsError::Invalid { path: path.into(), diagnostics })
    }

    /// Validates the text of a settings file, reads its secrets and fills in defaults.
    ///
    /// # Errors
    ///
    /// Returns all errors in the text, each with its line and column.
    ///
    /// ```
    /// use bramleywind_settings::{DaemonSettings, ProcessSecrets};
    ///
    /// let errors = DaemonSettings::resolve(r#"{ "capcity": 5 }"#, &ProcessSecrets).unwrap_err();
    /// let messages = errors.to_string();
    /// assert!(messages.contains("did you mean `capacity`?"));
    /// assert!(messages.contains("the settings file is missing the key `instance`"));
    /// ```
    pub fn resolve(text: &str, secrets: &impl SecretSource) -> Result<Self, DiagnosticList> {
        let source = JsonSource::new(text);
        let value = source.parse()?;
        let mut report = Report::new(source);
        check_shape(&value, OPTIONS_SHAPE, &mut report);
        let Some(root) = value.as_object() else {
            return Err(report.finish().err().unwrap_or_default());
        };
        for rule in OPTIONS_RULES {
            rule(root, &mut report);
        }
        let fleet_secret = rules::secret::read_secret(root, "fleet_secret", secrets, &mut report);
        let operator_token =
            rules::secret::read_secret(root, "operator_token", secrets, &mut report);
        report.finish()?;
        let options: RawOptions = source.deserialize()?;
        let (Some(fleet_secret), Some(operator_token)) = (fleet_secret, operator_token) else {
            unreachable!("the report has an error for every secret that was not read")
        };
        Ok(Self {
            peers: options
                .peers
                .into_iter()
                .filter(|peer| peer.instance != options.instance)
                .collect(),
            instance: options.instance,
            data_centre: options.data_centre,
            caller_listen: options.caller_listen,
            caller_address: options.caller_address.unwrap_or(options.caller_listen),
            peer_listen: options.peer_listen,
            peer_address: options.peer_address.unwrap_or(options.peer_listen),
            operator_listen: options.operator_listen,
            capacity: options.capacity,
            store_address: options.store_address,
            instance_list_address: options.instance_list_address,
            weight_store_address: options.weight_store_address,
            weight_downloads_per_minute: options.weight_downloads_per_minute,
            fleet_secret,
            operator_token,
            operator_public_key: options.operator_public_key,
            endpoint_policy: options.endpoint_policy,
            limits: options.limits.resolve(),
            log: options.log,
        })
    }
}
