//! `config apply`: checks, signs and applies a document by compare-and-swap.

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

/// What to apply, and on which conditions.
#[derive(Debug, Clone)]
pub struct ApplyPlan {
    /// Where the document comes from, for messages.
    pub file: PathBuf,
    /// The document's text, which is signed as it is.
    pub text: Box<str>,
    /// The operators' private key.
    pub key: OperatorSigningKey,
    /// The revision that must be in force; 0 for none.
    pub expect_revision: Option<ConfigRevision>,
    /// Whether a configuration that was signed with another key may be replaced.
    pub replace_other_key: bool,
}

/// Applies a document.
///
/// Applying the same text again changes nothing, so the command may be repeated after a lost answer.
///
/// # Errors
///
/// If the store gives no answer, or holds something that cannot be read.
pub async fn apply(store: &impl Store, plan: &ApplyPlan) -> Result<ApplyReport, CommandError> {
    let Ok(document) = check_document(&plan.text) else {
        let report = super::config_check::check(&plan.file, &plan.text);
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
    let shortfalls = budget_shortfall::find(store, &before, &document).await?;
    if !shortfalls.is_empty() {
        return Ok(ApplyReport::BelowCommitted { budgets: shortfalls });
    }
    let attempt = ApplyAttempt {
        signed: SignedConfig::sign(revision.next(), &plan.text, &plan.key),
        expected: current.map_or(StoreVersion::MISSING, |applied| applied.version),
        before,
        document,
    };
    attempt.run(store, changes).await
}

/// One compare-and-swap, with its repetition after lost answers.
#[derive(Debug)]
struct ApplyAttempt {
    signed: SignedConfig,
    expected: StoreVersion,
    before: ConfigDocument,
    document: ConfigDocument,
}

impl ApplyAttempt {
    async fn run(
        &self,
        store: &impl Store,
        changes: ConfigDifference,
    ) -> Result<ApplyReport, CommandError> {
        let mut schedule = RetrySchedule::start();
        let mut has_lost_answer = false;
        loop {
            // Repeating is safe: the write always expects the same version and carries the same value.
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
                    if !schedule.wait().await {
                        return Err(fate(has_lost_answer, reason));
                    }
                }
                WriteOutcome::Unknown => {
                    has_lost_answer = true;
                    if !schedule.wait().await {
                        return Err(fate(true, NotAppliedReason::Outage));
                    }
                }
            }
        }
        self.read_back(store, &mut schedule, has_lost_answer, changes).await
    }

    /// Finds out which configuration caused a conflict. A stale read is repeated: the conflict proves that
    /// there is a newer version.
    async fn read_back(
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
            if !schedule.wait().await {
                return Err(fate(has_lost_answer, NotAppliedReason::Outage));
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

/// Without a lost answer, it is known that nothing was written.
fn fate(has_lost_answer: bool, reason: NotAppliedReason) -> CommandError {
    if has_lost_answer {
        return CommandError::FateUnknown { hint: "; it finds out".into() };
    }
    let reason = match reason {
        NotAppliedReason::RateLimited => UnavailableReason::RateLimited,
        NotAppliedReason::Outage | NotAppliedReason::TooLarge => UnavailableReason::Outage,
    };
    CommandError::StoreUnavailable { reason }
}
