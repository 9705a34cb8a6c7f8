//! The daemon's settings file: JSON with comments, validated before anything starts.

mod gateway_settings;
mod listen_addresses;
mod raw_gateway_options;
mod retry_limits;
mod settings_error;
mod stop_times;

pub use gateway_settings::GatewaySettings;
pub use listen_addresses::ListenAddresses;
pub use retry_limits::RetryLimits;
pub use settings_error::GatewaySettingsError;
pub use stop_times::StopTimes;
