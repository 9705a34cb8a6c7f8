use std::fmt::Display;

use serde::Serialize;

use crate::ExitStatus;

/// The result of a command, printed through `Display` for people and through `Serialize` for programs.
pub trait CommandReport: Display + Serialize {
    /// Returns the exit status of the command.
    fn status(&self) -> ExitStatus {
        ExitStatus::Done
    }
}
