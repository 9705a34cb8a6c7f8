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

/// The checked settings of `bramleywindd`. They can be serialized for a dump; secrets show as `hidden`.
#[derive(Debug, Clone, serde::Serialize)]
pub struct DaemonSettings {
    /// This instance.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where to listen for callers.
    pub caller_listen: SocketAddr,
    /// The address that callers are told.
    pub caller_address: SocketAddr,
    /// Where to listen for peers.
    pub peer_listen: SocketAddr,
    /// The address that peers are told.
    pub peer_address: SocketAddr,
    /// Where to listen for operators.
    pub operator_listen: SocketAddr,
    /// The instance's share of the traffic, relative to the other entry instances.
    pub capacity: u32,
    /// The key-value store.
    pub store_address: SocketAddr,
    /// The instance list.
    pub instance_list_address: SocketAddr,
    /// The weight store; without it, engines get no orders that need weights.
    pub weight_store_address: Option<SocketAddr>,
    /// The most downloads a minute that orders of the whole fleet may cause.
    pub weight_downloads_per_minute: u32,
    /// The other routers to connect to at the start; never this instance.
    pub peers: Vec<PeerSeed>,
    /// What routers prove to each other that they know.
    pub fleet_secret: Secret,
    /// The bearer token of the operator port.
    pub operator_token: Secret,
    /// The key that configurations are verified with.
    pub operator_public_key: OperatorPublicKey,
    /// How endpoints are chosen.
    pub endpoint_policy: EndpointPolicy,
    /// Bounds on requests and stops.
    pub limits: RouterLimits,
    /// How to log.
    pub log: LogSettings,
}

impl DaemonSettings {
    /// Reads a settings file, and its secrets from files and the environment.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read, or with everything that is wrong in it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::resolve(&text, &ProcessSecrets)
            .map_err(|diagnostics| SettingsError::Invalid { path: path.into(), diagnostics })
    }

    /// Checks the text of a settings file, reads its secrets and fills in defaults.
    ///
    /// # Errors
    ///
    /// Everything that is wrong in the text, with lines and columns.
    ///
    /// ```
    /// use bramleywind_settings::{DaemonSettings, ProcessSecrets};
    ///
    /// let errors = DaemonSettings::resolve(r#"{ "capcity": 5 }"#, &ProcessSecrets).unwrap_err();
    /// let messages = errors.to_string();
    /// assert!(messages.contains("did you mean `capacity`?"));
    /// assert!(messages.contains("the settings file lacks the key `instance`"));
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
        let fleet_secret = rules::secret::read(root, "fleet_secret", secrets, &mut report);
        let operator_token = rules::secret::read(root, "operator_token", secrets, &mut report);
        report.finish()?;
        let options: RawOptions = source.deserialize()?;
        let (Some(fleet_secret), Some(operator_token)) = (fleet_secret, operator_token) else {
            unreachable!("a secret that was not read is in the report")
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
