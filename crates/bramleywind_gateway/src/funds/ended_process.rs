use std::time::Duration;

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{IncarnationId, InstanceId};
use compio::time::sleep;
use slog::{Logger, info};

use super::{SpentBound, TakeoverOutcome, plan_takeover};
use crate::platform_api::{CommitOutcome, FleetStore};

/// The maximum number of attempts to close the grants; tokens that are not returned by then cannot be returned any
/// more. Writes of other gateways conflict, and a store that loses answers takes several attempts.
const MAX_ATTEMPTS: usize = 100;

/// The delay after an attempt in which a write was not applied.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A process that has ended, or whose witness has closed its ceilings.
#[derive(Debug, Clone)]
pub struct EndedProcess {
    /// The instance that the process ran on.
    pub instance: InstanceId,
    /// The incarnation of the process.
    pub incarnation: IncarnationId,
    /// The version of its presence record.
    pub presence_version: StoreVersion,
    /// What the process can have spent.
    pub bound: SpentBound,
}

impl EndedProcess {
    /// Returns the tokens that the process cannot have spent to their pools, and counts the others as spent.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not answer. Another call can close the grants that are still open, as it can after
    /// [`TakeoverOutcome::PresenceChanged`] with the record that is in the store by then.
    pub async fn close_grants(
        &self,
        store: &impl FleetStore,
        log: &Logger,
    ) -> Result<TakeoverOutcome, UnavailableReason> {
        let mut budgets = 0;
        for _ in 0..MAX_ATTEMPTS {
            let changes =
                plan_takeover(self.incarnation, store.read_budgets(true).await?, &self.bound);
            if changes.is_empty() {
                break;
            }
            let mut is_applied = true;
            for change in changes {
                // Each write covers one budget, since other gateways that start at the same time write the same
                // records.
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
                sleep(RETRY_DELAY).await;
                if self.is_presence_changed(store).await? {
                    return Ok(TakeoverOutcome::PresenceChanged);
                }
            }
        }
        Ok(match budgets {
            0 => TakeoverOutcome::NothingToTake,
            budgets => TakeoverOutcome::Done { budgets },
        })
    }

    /// Returns whether the presence record is another one by now. The store may apply a write of the ended process seconds later,
    /// and no grant is closed under the version from before.
    async fn is_presence_changed(
        &self,
        store: &impl FleetStore,
    ) -> Result<bool, UnavailableReason> {
        let presences = store.list_presences().await?;
        let own = presences.iter().find(|(instance, _, _)| *instance == self.instance);
        Ok(own.map(|(_, _, version)| *version) != Some(self.presence_version))
    }
}
