//! The signals of a daemon, none of which ends the process by itself.

mod daemon_signals;
mod signal_kind;

pub use daemon_signals::DaemonSignals;
pub use signal_kind::SignalKind;
