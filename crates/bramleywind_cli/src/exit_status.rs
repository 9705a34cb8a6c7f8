use std::process::ExitCode;

/// The exit status of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitStatus {
    /// 0: the command succeeded, or its change had been made before.
    Done = 0,
    /// 1: the check or the request failed; repeating the command unchanged does not help.
    Failed = 1,
    /// 2: the command line or the client settings are not valid.
    Usage = 2,
    /// 3: another operator's configuration is in force; it was left unchanged.
    LostRace = 3,
    /// 4: the store or an instance did not answer; the command is safe to repeat.
    Unreachable = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
