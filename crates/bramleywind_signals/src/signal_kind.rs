/// What a signal asks a daemon to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalKind {
    /// Stop gracefully: SIGTERM or SIGINT.
    Stop,
    /// Read the settings again: SIGHUP.
    Reload,
}
