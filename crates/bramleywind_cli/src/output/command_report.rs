use std::fmt::Display;

use serde::Serialize;

use crate::ExitStatus;

/// What a command found out or did: `Display` is its form for people, `Serialize` that for programs.
pub trait CommandReport: Display + Serialize {
    /// The exit status that goes with the report.
    fn status(&self) -> ExitStatus {
        ExitStatus::Done
    }
}
