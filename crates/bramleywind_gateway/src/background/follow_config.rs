use std::rc::Rc;

use bramleywind_store::{StoreVersion, UnavailableReason};
use slog::{info, warn};

use super::{DependencyTracker, WATCH_TIME};
use crate::{
    gateway::Gateway,
    platform_api::{FleetStore, LoadedConfig, Platform, StoreChanges},
};

/// Keeps the configuration up to date.
pub(crate) async fn follow_config<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut contact = DependencyTracker::new("configuration", gateway.log());
    let mut version = None;
    loop {
        match next_version(&gateway, version).await {
            Ok(next) => {
                contact.note_answer();
                version = next;
            }
            Err(reason) => {
                // A watch that was cut may have missed changes that the store's version already covers.
                version = None;
                contact.pause_after(reason).await;
            }
        }
    }
}

/// Reads the configuration, or waits for a newer one. Returns the version to watch from.
async fn next_version<P: Platform>(
    gateway: &Gateway<P>,
    version: Option<StoreVersion>,
) -> Result<Option<StoreVersion>, UnavailableReason> {
    let Some(after) = version else {
        let (loaded, version) = gateway.store().read_config().await?;
        take(gateway, loaded);
        return Ok(Some(version));
    };
    match gateway.store().watch_config(after, WATCH_TIME).await? {
        StoreChanges::Changed { changes, version } => {
            for loaded in changes {
                take(gateway, loaded);
            }
            Ok(Some(version))
        }
        StoreChanges::HistoryLost => {
            info!(gateway.log(), "configuration history lost; reading it again"; "after" => %after);
            Ok(None)
        }
    }
}

fn take<P: Platform>(gateway: &Gateway<P>, loaded: LoadedConfig) {
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
        LoadedConfig::Missing => info!(gateway.log(), "no configuration in the store yet"),
    }
}
