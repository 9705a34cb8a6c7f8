use std::fmt;

use bramleywind_config::ConfigDifference;
use bramleywind_types::ConfigRevision;
use serde::Serialize;

use super::BudgetShortfall;
use crate::{
    CommandReport, ExitStatus, Style,
    commands::{config_check::CheckReport, write_changes},
};

/// The result of applying a document.
#[derive(Debug, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyReport {
    /// The document is in the store; routers pick it up within seconds.
    Applied {
        /// The revision of the document.
        revision: ConfigRevision,
        /// The changes that it made.
        changes: ConfigDifference,
    },
    /// The same text is already in force.
    AlreadyInForce {
        /// The revision in force.
        revision: ConfigRevision,
    },
    /// The document is not valid.
    Invalid(CheckReport),
    /// The signed document is larger than the store allows for one value.
    TooLarge {
        /// The size of the document with its signature, in bytes.
        bytes: usize,
    },
    /// Budgets would fall below the tokens already spent or granted.
    BelowCommitted {
        /// Those budgets, with the lowest number of tokens that would be accepted.
        budgets: Vec<BudgetShortfall>,
    },
    /// The configuration in force was signed with another key, so the routers would refuse this one.
    OtherKey {
        /// The revision in force.
        revision: ConfigRevision,
    },
    /// Another operator's configuration was applied first. Nothing was changed.
    LostRace {
        /// The revision that this document was meant to replace.
        expected: ConfigRevision,
        /// The revision in force.
        revision: ConfigRevision,
        /// The changes of the other operator, if the replaced document is known.
        other_changes: Option<ConfigDifference>,
        /// The changes that this document would make to the one in force.
        own_changes: ConfigDifference,
    },
    /// The store's answer was lost, and a later configuration is in force. This document may have been in
    /// force in between.
    Superseded {
        /// The revision of this document.
        own: ConfigRevision,
        /// The revision in force.
        revision: ConfigRevision,
    },
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (good, bad) = (Style::GOOD, Style::BAD);
        let not_applied = format!("{}not applied{}", bad.render(), bad.render_reset());
        match self {
            Self::Applied { revision, changes } => {
                write!(
                    f,
                    "{}applied{} as revision {revision}",
                    good.render(),
                    good.render_reset()
                )?;
                write_changes(f, changes)
            }
            Self::AlreadyInForce { revision } => {
                write!(f, "already in force as revision {revision}; nothing to do")
            }
            Self::Invalid(report) => write!(f, "{report}\n{not_applied}"),
            Self::TooLarge { bytes } => write!(
                f,
                "{not_applied}: the signed document has `{bytes}` bytes, more than the store holds in one value; make it smaller"
            ),
            Self::BelowCommitted { budgets } => {
                write!(
                    f,
                    "{not_applied}: budgets would fall below what is already spent or granted"
                )?;
                budgets.iter().try_for_each(|shortfall| write!(f, "\n  {shortfall}"))
            }
            Self::OtherKey { revision } => write!(
                f,
                "{not_applied}: revision {revision} in force is signed with another key, so the routers would refuse this one; sign with that key, or pass `--replace-other-key` once the routers have the new public key"
            ),
            Self::LostRace { expected, revision, other_changes, own_changes } => {
                write!(
                    f,
                    "{not_applied}: revision {expected} was expected, but revision {revision} is in force; merge the changes and apply again"
                )?;
                if let Some(changes) = other_changes {
                    write!(f, "\nthe other operator changed:")?;
                    write_changes(f, changes)?;
                }
                write!(f, "\nthis document would change:")?;
                write_changes(f, own_changes)
            }
            Self::Superseded { own, revision } => write!(
                f,
                "the store's answer for revision {own} was lost, and revision {revision} is in force now; this document may have been in force in between, so compare it with `bramleywind config diff`"
            ),
        }
    }
}

impl CommandReport for ApplyReport {
    fn status(&self) -> ExitStatus {
        match self {
            Self::Applied { .. } | Self::AlreadyInForce { .. } => ExitStatus::Done,
            Self::LostRace { .. } | Self::Superseded { .. } => ExitStatus::LostRace,
            Self::Invalid(_)
            | Self::TooLarge { .. }
            | Self::BelowCommitted { .. }
            | Self::OtherKey { .. } => ExitStatus::Failed,
        }
    }
}
