use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{StoreVersion, UnavailableReason};
use compio::time::sleep;
use slog::{info, warn};

use super::{DependencyTracker, MIN_WATCH_TIME, WATCH_TIME};
use crate::{
    gateway::Gateway,
    platform_api::{FleetStore, LoadedConfig, Platform, StoreChanges},
};

/// How often to check whether another gateway still keeps the configuration current.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the configuration in sync with the store.
pub(crate) async fn follow_config<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut tracker = DependencyTracker::new("configuration", gateway.log());
    let mut version = None;
    loop {
        if is_relayed(&gateway) {
            // Without the other gateway, the configuration is read anew.
            version = None;
            sleep(RELAY_POLL_INTERVAL).await;
            continue;
        }
        match next_version(&gateway, version).await {
            Ok(next) => {
                tracker.record_success();
                version = next;
            }
            Err(reason) => {
                // An interrupted watch may have missed changes that the store's version already covers.
                version = None;
                tracker.back_off(reason).await;
            }
        }
    }
}

/// Returns whether another gateway keeps the configuration current.
fn is_relayed<P: Platform>(gateway: &Gateway<P>) -> bool {
    gateway.config_relayed_until().is_some_and(|until| Instant::now() < until)
}

/// Reads the configuration, or waits for a newer one. Returns the version to watch from, or `None` if the configuration
/// must be read again.
async fn next_version<P: Platform>(
    gateway: &Gateway<P>,
    version: Option<StoreVersion>,
) -> Result<Option<StoreVersion>, UnavailableReason> {
    let Some(after) = version else {
        let asked_at = Instant::now();
        let (loaded, version) = gateway.store().read_config().await?;
        gateway.config_freshness().confirm(asked_at);
        apply_config(gateway, loaded);
        return Ok(Some(version));
    };
    let asked_at = Instant::now();
    // A watch must not outlast the age up to which the configuration is current.
    let age = gateway.config_freshness().age(asked_at).unwrap_or_default();
    let wait = WATCH_TIME.saturating_sub(age).max(MIN_WATCH_TIME);
    match gateway.store().watch_config(after, wait).await? {
        StoreChanges::Changed { changes, version } => {
            // The store answers a watch without changes only at its end.
            let complete_until = if changes.is_empty() { asked_at + wait } else { asked_at };
            gateway.config_freshness().confirm(complete_until.min(Instant::now()));
            for loaded in changes {
                apply_config(gateway, loaded);
            }
            Ok(Some(version))
        }
        StoreChanges::HistoryLost => {
            info!(gateway.log(), "configuration history lost; reading it again"; "after" => %after);
            Ok(None)
        }
    }
}

fn apply_config<P: Platform>(gateway: &Gateway<P>, loaded: LoadedConfig) {
    match loaded {
        LoadedConfig::Found { config, skipped } => {
            for reason in &skipped {
                warn!(gateway.log(), "part of the configuration unreadable; it is left out";
                    "revision" => %config.revision, "reason" => &**reason);
            }
            let revision = config.revision;
            let (routes, workspaces) = (config.routes.len(), config.workspaces.len());
            let is_accepted = gateway.accept_config(*config);
            info!(gateway.log(), "configuration read"; "revision" => %revision, "routes" => routes,
                "workspaces" => workspaces, "accepted" => is_accepted);
        }
        LoadedConfig::Unreadable { reason } => {
            warn!(gateway.log(), "configuration unreadable; the one in force stays"; "reason" => &*reason);
        }
        LoadedConfig::Missing => info!(gateway.log(), "the store has no configuration yet"),
    }
}
