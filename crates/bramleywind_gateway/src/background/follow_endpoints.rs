use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::EndpointId;
use compio::time::sleep;
use slog::{info, warn};

use super::{DependencyTracker, ScaledInterval, WATCH_TIME};
use crate::{
    endpoints::EntryEffect,
    gateway::Gateway,
    platform_api::{EntryChange, FleetStore, Platform, StoreChanges},
};

/// The minimum duration of a watch.
const MIN_WATCH_TIME: Duration = Duration::from_millis(50);

/// The interval between two watches, which batches changes that occur together, such as the start of all endpoints.
/// Each change wakes all gateways. The maximum is below the time within which a leaving endpoint must be known.
const BATCH_INTERVAL: ScaledInterval = ScaledInterval {
    min: Duration::from_millis(250),
    base_members: 12,
    max: Duration::from_secs(1),
};

/// How long endpoints whose entries vanished in an outage of the store are kept after its return. Live endpoints
/// register again within about two seconds.
const GRACE_TIME: Duration = Duration::from_millis(1_900);

/// Keeps the list of endpoints in sync with the registry in the store.
pub(crate) async fn follow_endpoints<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut tracker = DependencyTracker::new("endpoint registry", gateway.log());
    let mut version = None;
    let mut grace_until = None;
    let mut unreadable = HashSet::new();
    loop {
        match next_version(&gateway, version, grace_until, &mut unreadable).await {
            Ok(next) => {
                if tracker.record_success().is_some() {
                    grace_until = Some(Instant::now() + GRACE_TIME);
                }
                version = next;
            }
            Err(reason) => {
                // Entries missing from the first answer after this may only have expired.
                grace_until = Some(Instant::now() + Duration::from_secs(3600));
                // An interrupted watch may have missed changes that the store's version already covers.
                version = None;
                tracker.back_off(reason).await;
            }
        }
        remove_expired(&gateway);
        let members = gateway.members().borrow().count();
        sleep(BATCH_INTERVAL.for_members(members)).await;
    }
}

/// Reads the registry, or waits for changes. Returns the version to watch from, or `None` if the registry must be read
/// again.
async fn next_version<P: Platform>(
    gateway: &Gateway<P>,
    version: Option<StoreVersion>,
    grace_until: Option<Instant>,
    unreadable: &mut HashSet<Option<EndpointId>>,
) -> Result<Option<StoreVersion>, UnavailableReason> {
    // A watch must not outlast the time at which a missing endpoint has to be removed.
    let removal_time = gateway.endpoints().borrow().next_removal_time();
    let wait = removal_time.map_or(WATCH_TIME, |end| {
        end.saturating_duration_since(Instant::now()).clamp(MIN_WATCH_TIME, WATCH_TIME)
    });
    let Some(after) = version else {
        let (asked_at, bytes_before) = (Instant::now(), gateway.store().received_bytes());
        let page = gateway.store().list_endpoints().await?;
        let millis = u64::try_from(asked_at.elapsed().as_millis()).ok();
        info!(gateway.log(), "registry read"; "entries" => page.entries.len(), "version" => %page.version,
            "bytes" => gateway.store().received_bytes() - bytes_before, "took_ms" => millis,
            "list_age_ms" => gateway.list_freshness().age(asked_at).and_then(|age| u64::try_from(age.as_millis()).ok()));
        gateway.list_freshness().confirm(asked_at);
        let grace_end = current_grace_end(grace_until);
        apply_list(gateway, page.entries, grace_end, unreadable);
        return Ok(Some(page.version));
    };
    let asked_at = Instant::now();
    match gateway.store().watch_endpoints(after, wait).await? {
        StoreChanges::Changed { changes, version } => {
            // The store answers a watch without changes only at its end.
            let complete_until = if changes.is_empty() { asked_at + wait } else { asked_at };
            gateway.list_freshness().confirm(complete_until.min(Instant::now()));
            let grace_end = current_grace_end(grace_until);
            for change in changes {
                apply_change(gateway, change, grace_end, unreadable);
            }
            Ok(Some(version))
        }
        StoreChanges::HistoryLost => {
            info!(gateway.log(), "registry history lost; reading it again"; "after" => %after);
            Ok(None)
        }
    }
}

/// Returns until when an endpoint is kept whose entry vanishes now, or `None` if it is to be removed at once.
fn current_grace_end(grace_until: Option<Instant>) -> Option<Instant> {
    let now = Instant::now();
    grace_until.filter(|until| now < *until).map(|until| until.min(now + GRACE_TIME))
}

fn apply_list<P: Platform>(
    gateway: &Gateway<P>,
    entries: Vec<EntryChange>,
    grace_until: Option<Instant>,
    unreadable: &mut HashSet<Option<EndpointId>>,
) {
    let mut listed = HashSet::new();
    for entry in entries {
        match &entry {
            EntryChange::Written(record) => {
                listed.insert(record.id.clone());
            }
            // An invalid entry does not remove the endpoint that it may belong to.
            EntryChange::Unreadable { endpoint: Some(id), .. } => {
                listed.insert(id.clone());
            }
            EntryChange::Unreadable { endpoint: None, .. } | EntryChange::Removed(_) => {}
        }
        apply_change(gateway, entry, grace_until, unreadable);
    }
    let missing = gateway.endpoints().borrow().missing_from(&listed);
    for id in missing {
        apply_change(gateway, EntryChange::Removed(id), grace_until, unreadable);
    }
}

fn apply_change<P: Platform>(
    gateway: &Gateway<P>,
    change: EntryChange,
    grace_until: Option<Instant>,
    unreadable: &mut HashSet<Option<EndpointId>>,
) {
    let log = gateway.log();
    let mut endpoints = gateway.endpoints().borrow_mut();
    let mut ended = Vec::new();
    match change {
        EntryChange::Written(record) => {
            let (id, address) = (record.id.clone(), record.address);
            let (service, is_leaving) = (record.service.clone(), record.is_leaving);
            let effect = endpoints.insert(record);
            if effect == EntryEffect::Added {
                // An earlier start under the same name has ended too.
                ended.push(id.clone());
                ended.extend(endpoints.others_at(address, &id));
            }
            if effect != EntryEffect::Unchanged {
                info!(log, "endpoint changed"; "endpoint" => %id, "service" => %service,
                    "address" => %address, "is_leaving" => is_leaving, "effect" => ?effect);
            }
        }
        EntryChange::Unreadable { endpoint, reason } => {
            if unreadable.insert(endpoint.clone()) {
                let endpoint = endpoint.map(|id| id.to_string());
                warn!(log, "registry entry unreadable; it is ignored"; "endpoint" => endpoint,
                    "reason" => &*reason);
            }
        }
        EntryChange::Removed(id) => match grace_until {
            Some(until) => endpoints.mark_missing(&id, until),
            None => {
                if endpoints.remove(&id) {
                    info!(log, "endpoint removed"; "endpoint" => %id);
                    ended.push(id);
                }
            }
        },
    }
    let open = endpoints.iter().filter(|endpoint| endpoint.is_open()).count();
    gateway.metrics().open_endpoints.set(i64::try_from(open).unwrap_or(i64::MAX));
    drop(endpoints);
    for id in ended {
        gateway.confirm_crashes(&id);
    }
}

fn remove_expired<P: Platform>(gateway: &Gateway<P>) {
    let removed = gateway.endpoints().borrow_mut().remove_missing(Instant::now());
    for id in removed {
        info!(gateway.log(), "endpoint removed: its entry did not come back"; "endpoint" => %id);
        gateway.confirm_crashes(&id);
    }
}
