use std::rc::Rc;

use bramleywind_store::{StoreVersion, UnavailableReason};
use slog::{info, warn};

use super::{DependencyTracker, WATCH_TIME};
use crate::{
    gateway::Gateway,
    platform_api::{FleetStore, LoadedConfig, Platform, StoreChanges},
};

/// Keeps the configuration in sync with the store.
pub(crate) async fn follow_config<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut tracker = DependencyTracker::new("configuration", gateway.log());
    let mut version = None;
    loop {
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

/// Reads the configuration, or waits for a newer one. Returns the version to watch from, or `None` if the configuration
/// must be read again.
async fn next_version<P: Platform>(
    gateway: &Gateway<P>,
    version: Option<StoreVersion>,
) -> Result<Option<StoreVersion>, UnavailableReason> {
    let Some(after) = version else {
        let (loaded, version) = gateway.store().read_config().await?;
        apply_config(gateway, loaded);
        return Ok(Some(version));
    };
    match gateway.store().watch_config(after, WATCH_TIME).await? {
        StoreChanges::Changed { changes, version } => {
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
