use std::process::ExitCode;

/// What the tool's exit code says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitStatus {
    /// 0: the command did what it was asked to do, or it had been done before.
    Done = 0,
    /// 1: the check or the request failed; repeating it unchanged does not help.
    Failed = 1,
    /// 2: the command line or the client settings are wrong.
    Usage = 2,
    /// 3: another operator's configuration is in force; it was not changed.
    LostRace = 3,
    /// 4: the store or an instance gave no answer, and the command is safe to repeat.
    Unreachable = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
