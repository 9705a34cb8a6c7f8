//! `config in-force`: the revision in the store and the one in force on each instance.

use std::fmt;

use bramleywind_store::Store;
use bramleywind_types::{ConfigRevision, DataCentreId, InstanceId};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use crate::{
    CommandError, CommandReport, ExitStatus, InstanceAddress, OperatorClient, Style,
    config_store::read_config,
};

/// An instance's answer to `GET /v1/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The incarnation under which it spends tokens.
    pub incarnation: Box<str>,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The revision in force on the instance; 0 before the first.
    pub revision: ConfigRevision,
    /// Its state, which tells whether it accepts work or is shutting down.
    pub state: Box<str>,
}

/// The answer of one instance.
#[derive(Debug, Serialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum InstanceAnswer {
    /// The status that the instance returned.
    Status(InstanceStatus),
    /// The instance gave no usable answer.
    None {
        /// The id of the instance.
        instance: InstanceId,
        /// The error of the request.
        reason: Box<str>,
    },
}

/// The revision in the store and the one in force on each instance.
#[derive(Debug, Serialize)]
pub struct InForceReport {
    /// The revision in the store; absent if there is none or the store did not answer.
    pub store_revision: Option<ConfigRevision>,
    /// The error of reading the store, if it gave no usable answer.
    pub store_error: Option<Box<str>>,
    /// The answers of the instances.
    pub instances: Vec<InstanceAnswer>,
}

/// Reads the revision in the store and queries each instance.
///
/// # Errors
///
/// Never fails at present: missing answers are part of the report.
pub async fn read_revisions(
    store: &impl Store,
    client: &OperatorClient,
    instances: &[InstanceAddress],
) -> Result<InForceReport, CommandError> {
    let (store_revision, store_error) = match read_config(store).await {
        Ok(applied) => (applied.map(|applied| applied.signed.revision), None),
        Err(error) => (None, Some(error.to_string().into())),
    };
    // Queried concurrently, so that the timeouts of unreachable instances do not add up.
    let answers = instances.iter().map(|listed| query_status(client, listed));
    let instances = join_all(answers).await;
    Ok(InForceReport { store_revision, store_error, instances })
}

/// Queries the status of an instance, and turns an error into an answer without a status.
async fn query_status(client: &OperatorClient, listed: &InstanceAddress) -> InstanceAnswer {
    match client.get::<InstanceStatus>(listed.address, "/v1/status").await {
        Ok(status) => InstanceAnswer::Status(status),
        Err(error) => {
            let (instance, reason) = (listed.instance.clone(), error.to_string().into());
            InstanceAnswer::None { instance, reason }
        }
    }
}

impl InForceReport {
    /// Returns whether the instance has an older revision than the store.
    fn is_behind(&self, status: &InstanceStatus) -> bool {
        self.store_revision.is_some_and(|revision| status.revision < revision)
    }
}

impl fmt::Display for InForceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.store_error, self.store_revision) {
            (Some(error), _) => write!(f, "store: {error}")?,
            (None, Some(revision)) => write!(f, "store: revision {revision}")?,
            (None, None) => write!(f, "store: no configuration")?,
        }
        for answer in &self.instances {
            match answer {
                InstanceAnswer::None { instance, reason } => {
                    let style = Style::BAD;
                    let (bad, reset) = (style.render(), style.render_reset());
                    write!(f, "\n{instance}: {bad}no answer{reset}: {reason}")?;
                }
                InstanceAnswer::Status(status) => {
                    let style = if self.is_behind(status) { Style::NOTICE } else { Style::GOOD };
                    let (start, reset) = (style.render(), style.render_reset());
                    let InstanceStatus { instance, incarnation, data_centre, state, .. } = status;
                    let revision = match status.revision {
                        ConfigRevision(0) => "no configuration".into(),
                        revision => format!("revision {revision}"),
                    };
                    write!(
                        f,
                        "\n{instance} ({data_centre}): {start}{revision}{reset}, {state}, incarnation {incarnation}"
                    )?;
                }
            }
        }
        Ok(())
    }
}

impl CommandReport for InForceReport {
    /// Returns 4 if the store or an instance did not answer, and otherwise 1 if an instance is behind the store.
    fn status(&self) -> ExitStatus {
        let is_unreachable =
            |answer: &InstanceAnswer| matches!(answer, InstanceAnswer::None { .. });
        if self.store_error.is_some() || self.instances.iter().any(is_unreachable) {
            return ExitStatus::Unreachable;
        }
        let is_behind = |answer: &InstanceAnswer| match answer {
            InstanceAnswer::Status(status) => self.is_behind(status),
            InstanceAnswer::None { .. } => false,
        };
        if self.instances.iter().any(is_behind) { ExitStatus::Failed } else { ExitStatus::Done }
    }
}
