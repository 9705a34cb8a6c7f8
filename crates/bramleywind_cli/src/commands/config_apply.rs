//! `config apply`: checks and signs a document and applies it by compare-and-swap.

mod apply_report;
mod budget_shortfall;

use std::path::PathBuf;

use bramleywind_config::{
    ConfigDifference, ConfigDocument, OperatorSigningKey, SignedConfig, check_document,
};
use bramleywind_store::{
    NotAppliedReason, ReadOutcome, Store, StoreKey, StoreVersion, UnavailableReason, WriteOutcome,
};
use bramleywind_types::ConfigRevision;

pub use apply_report::ApplyReport;
pub use budget_shortfall::BudgetShortfall;

use super::config_diff::empty_document;
use crate::{
    CommandError,
    config_store::{AppliedConfig, read_config},
    retry::RetrySchedule,
};

/// The document to apply and the conditions for applying it.
#[derive(Debug, Clone)]
pub struct ApplyPlan {
    /// The path of the document, for messages.
    pub file: PathBuf,
    /// The text of the document, which is signed unchanged.
    pub text: Box<str>,
    /// The operators' private key.
    pub key: OperatorSigningKey,
    /// The revision that must be in force, if one is required; 0 means that none is in force.
    pub expect_revision: Option<ConfigRevision>,
    /// Whether a configuration that was signed with another key may be replaced.
    pub replace_other_key: bool,
}

/// Checks, signs and applies a document.
///
/// Applying the same text again changes nothing, so the command may be repeated after a lost answer.
///
/// # Errors
///
/// Fails if the store does not answer, or if its value cannot be decoded.
pub async fn apply_config(
    store: &impl Store,
    plan: &ApplyPlan,
) -> Result<ApplyReport, CommandError> {
    let Ok(document) = check_document(&plan.text) else {
        let report = super::config_check::check_config(&plan.file, &plan.text);
        return Ok(ApplyReport::Invalid(report));
    };
    let current = read_config(store).await?;
    let revision = current.as_ref().map_or(ConfigRevision(0), |applied| applied.signed.revision);
    let before = match &current {
        Some(applied) => applied.document()?,
        None => empty_document(),
    };
    let changes = ConfigDifference::between(&before, &document);
    if let Some(applied) = &current {
        let is_own_key = applied.signed.verify(&plan.key.public_key()).is_ok();
        if is_own_key && applied.signed.document == plan.text {
            return Ok(ApplyReport::AlreadyInForce { revision });
        }
        if !is_own_key && !plan.replace_other_key {
            return Ok(ApplyReport::OtherKey { revision });
        }
    }
    if let Some(expected) = plan.expect_revision.filter(|expected| *expected != revision) {
        let (other_changes, own_changes) = (None, changes);
        return Ok(ApplyReport::LostRace { expected, revision, other_changes, own_changes });
    }
    let shortfalls = budget_shortfall::find_shortfalls(store, &before, &document).await?;
    if !shortfalls.is_empty() {
        return Ok(ApplyReport::BelowCommitted { budgets: shortfalls });
    }
    let attempt = ApplyAttempt {
        signed: SignedConfig::sign(revision.next(), &plan.text, &plan.key),
        expected: current.map_or(StoreVersion::MISSING, |applied| applied.version),
        before,
        document,
    };
    attempt.write_config(store, changes).await
}

/// A compare-and-swap of the configuration, repeated after lost answers.
#[derive(Debug)]
struct ApplyAttempt {
    signed: SignedConfig,
    expected: StoreVersion,
    before: ConfigDocument,
    document: ConfigDocument,
}

impl ApplyAttempt {
    /// Writes the signed document, and repeats the write until its outcome is known.
    async fn write_config(
        &self,
        store: &impl Store,
        changes: ConfigDifference,
    ) -> Result<ApplyReport, CommandError> {
        let mut schedule = RetrySchedule::start();
        let mut has_lost_answer = false;
        loop {
            // Repeating the write is safe: it always expects the same version and carries the same value.
            let value = self.signed.to_bytes();
            match store.write(&StoreKey::config(), value, self.expected).await {
                WriteOutcome::Applied(_) => {
                    return Ok(ApplyReport::Applied { revision: self.signed.revision, changes });
                }
                WriteOutcome::Conflict => break,
                WriteOutcome::NotApplied(NotAppliedReason::TooLarge) => {
                    return Ok(ApplyReport::TooLarge { bytes: self.signed.to_bytes().len() });
                }
                WriteOutcome::NotApplied(reason) => {
                    if !schedule.wait_for_attempt().await {
                        return Err(unapplied_write_error(has_lost_answer, reason));
                    }
                }
                WriteOutcome::Unknown => {
                    has_lost_answer = true;
                    if !schedule.wait_for_attempt().await {
                        return Err(unapplied_write_error(true, NotAppliedReason::Outage));
                    }
                }
            }
        }
        self.identify_winner(store, &mut schedule, has_lost_answer, changes).await
    }

    /// Reads the configuration that caused a conflict, and reports which one won. A stale read is repeated,
    /// because the conflict proves that there is a newer version.
    async fn identify_winner(
        &self,
        store: &impl Store,
        schedule: &mut RetrySchedule,
        has_lost_answer: bool,
        changes: ConfigDifference,
    ) -> Result<ApplyReport, CommandError> {
        let winner = loop {
            if let ReadOutcome::Found(value) = store.read(&StoreKey::config()).await
                && value.version > self.expected
            {
                break AppliedConfig::from_value(&value)?;
            }
            if !schedule.wait_for_attempt().await {
                return Err(unapplied_write_error(has_lost_answer, NotAppliedReason::Outage));
            }
        };
        let (own, revision) = (self.signed.revision, winner.signed.revision);
        if winner.signed == self.signed {
            return Ok(ApplyReport::Applied { revision: own, changes });
        }
        if has_lost_answer && revision > own {
            return Ok(ApplyReport::Superseded { own, revision });
        }
        let after = winner.document()?;
        Ok(ApplyReport::LostRace {
            expected: ConfigRevision(own.0 - 1),
            revision,
            other_changes: Some(ConfigDifference::between(&self.before, &after)),
            own_changes: ConfigDifference::between(&after, &self.document),
        })
    }
}

/// Builds the error for a write that could not be completed. If no answer was lost, nothing was written;
/// otherwise the outcome is unknown.
fn unapplied_write_error(has_lost_answer: bool, reason: NotAppliedReason) -> CommandError {
    if has_lost_answer {
        return CommandError::FateUnknown { hint: " to find out".into() };
    }
    let reason = match reason {
        NotAppliedReason::RateLimited => UnavailableReason::RateLimited,
        NotAppliedReason::Outage | NotAppliedReason::TooLarge => UnavailableReason::Outage,
    };
    CommandError::StoreUnavailable { reason }
}
