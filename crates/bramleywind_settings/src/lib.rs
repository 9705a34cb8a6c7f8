//! The daemon's settings: the raw options as written in the file, the validated settings and the secrets.
//!
//! The daemon only uses [`DaemonSettings`], in which all defaults are filled in and all values are validated. An
//! invalid file is therefore rejected at startup and cannot cause a failure in the middle of a request.

mod daemon_settings;
mod endpoint_policy;
mod log_settings;
mod options_shape;
mod peer_seed;
mod raw_options;
mod router_limits;
mod rules;
mod secret;
mod secret_source;
mod settings_error;

pub use daemon_settings::DaemonSettings;
pub use endpoint_policy::EndpointPolicy;
pub use log_settings::{LogFormat, LogLevel, LogSettings};
pub use peer_seed::PeerSeed;
pub use router_limits::RouterLimits;
pub use secret::Secret;
pub use secret_source::{ProcessSecrets, SecretError, SecretLocation, SecretSource};
pub use settings_error::SettingsError;
