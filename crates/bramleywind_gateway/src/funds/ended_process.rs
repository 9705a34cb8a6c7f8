use std::time::Duration;

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{IncarnationId, InstanceId};
use compio::time::sleep;
use slog::{Logger, info};

use super::{TakeoverOutcome, plan_takeover};
use crate::platform_api::{CommitOutcome, FleetStore};

/// Rounds of writes to close the grants, after which nothing more can be given back. Writes of other gateways conflict, and
/// a store that loses answers needs some rounds.
const MAX_ATTEMPTS: usize = 100;

/// The pause after a round in which a write was not applied.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// An earlier process of this instance, which is known to have ended.
#[derive(Debug, Clone)]
pub struct EndedProcess {
    /// The instance that it ran on.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: IncarnationId,
    /// The version of its presence record.
    pub presence_version: StoreVersion,
    /// The most time that can have passed since it wrote that record.
    pub age: Duration,
}

impl EndedProcess {
    /// Gives the standby tokens back that it can't have spent, and counts the others as spent.
    ///
    /// # Errors
    ///
    /// The store did not answer; the grants that are not closed yet can be closed by another call.
    pub async fn close_grants(
        &self,
        store: &impl FleetStore,
        log: &Logger,
    ) -> Result<TakeoverOutcome, UnavailableReason> {
        let mut budgets = 0;
        for _ in 0..MAX_ATTEMPTS {
            let changes = plan_takeover(self.incarnation, store.read_budgets(true).await?, self.age);
            if changes.is_empty() {
                break;
            }
            let mut is_applied = true;
            for change in changes {
                // One budget a write: other gateways start at the same time and write the same records.
                let presence = Some((&self.instance, self.presence_version));
                let outcome = store.commit_budgets(std::slice::from_ref(&change), presence).await;
                let counted = change.record.grant(self.incarnation).total();
                let is_done = matches!(outcome, CommitOutcome::Applied(_));
                info!(log, "grant of the earlier process closed"; "workspace" => %change.workspace,
                    "counted_as_spent" => counted.0, "applied" => is_done);
                budgets += usize::from(is_done);
                is_applied &= is_done;
            }
            if !is_applied {
                sleep(ROUND_PAUSE).await;
            }
        }
        Ok(match budgets {
            0 => TakeoverOutcome::NothingToTake,
            budgets => TakeoverOutcome::Done { budgets },
        })
    }
}
