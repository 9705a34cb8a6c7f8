use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::EndpointId;
use compio::time::sleep;
use slog::{info, warn};

use super::{ScaledInterval, DependencyTracker, WATCH_TIME};
use crate::{
    endpoints::EntryEffect,
    gateway::Gateway,
    platform_api::{EntryChange, FleetStore, Platform, StoreChanges},
};

/// The shortest time that a watch waits.
const SHORTEST_WATCH: Duration = Duration::from_millis(50);

/// The pause between two watches, which collects changes that come together, such as the start of all endpoints. Each change
/// wakes all gateways. The longest is below the seconds within which a leaving endpoint must be known.
const COLLECT_TIME: ScaledInterval = ScaledInterval {
    shortest: Duration::from_millis(250),
    small_fleet: 12,
    longest: Duration::from_secs(1),
};

/// How long entries that vanished with a store outage are still believed after its return. Endpoints that live are
/// back in the registry within about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(1_900);

/// Keeps the list of endpoints up to date.
pub(crate) async fn follow_endpoints<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut contact = DependencyTracker::new("endpoint registry", gateway.log());
    let mut version = None;
    let mut doubt_until = None;
    let mut unreadable = HashSet::new();
    loop {
        match next_version(&gateway, version, doubt_until, &mut unreadable).await {
            Ok(next) => {
                if contact.note_answer().is_some() {
                    doubt_until = Some(Instant::now() + RETURN_TIME);
                }
                version = next;
            }
            Err(reason) => {
                // What vanishes with the first answer after this may only have lapsed.
                doubt_until = Some(Instant::now() + Duration::from_secs(3600));
                // A watch that was cut may have missed changes that the store's version already covers.
                version = None;
                contact.pause_after(reason).await;
            }
        }
        remove_missing(&gateway);
        let members = gateway.members().borrow().count();
        sleep(COLLECT_TIME.at(members)).await;
    }
}

/// Reads the registry, or waits for changes. Returns the version to watch from.
async fn next_version<P: Platform>(
    gateway: &Gateway<P>,
    version: Option<StoreVersion>,
    doubt_until: Option<Instant>,
    unreadable: &mut HashSet<Option<EndpointId>>,
) -> Result<Option<StoreVersion>, UnavailableReason> {
    // A watch must not outlast the time at which a doubted endpoint has to be dropped.
    let doubt_end = gateway.endpoints().borrow().next_removal_time();
    let wait = doubt_end.map_or(WATCH_TIME, |end| {
        end.saturating_duration_since(Instant::now()).clamp(SHORTEST_WATCH, WATCH_TIME)
    });
    let Some(after) = version else {
        let page = gateway.store().list_endpoints().await?;
        let limit = capped(doubt_until);
        take_list(gateway, page.entries, limit, unreadable);
        return Ok(Some(page.version));
    };
    match gateway.store().watch_endpoints(after, wait).await? {
        StoreChanges::Changed { changes, version } => {
            let limit = capped(doubt_until);
            for change in changes {
                take(gateway, change, limit, unreadable);
            }
            Ok(Some(version))
        }
        StoreChanges::HistoryLost => {
            info!(gateway.log(), "registry history lost; reading it again"; "after" => %after);
            Ok(None)
        }
    }
}

/// Until when an entry that vanishes now is believed.
fn capped(doubt_until: Option<Instant>) -> Option<Instant> {
    let now = Instant::now();
    doubt_until.filter(|until| now < *until).map(|until| until.min(now + RETURN_TIME))
}

fn take_list<P: Platform>(
    gateway: &Gateway<P>,
    entries: Vec<EntryChange>,
    doubt_until: Option<Instant>,
    unreadable: &mut HashSet<Option<EndpointId>>,
) {
    let mut listed = HashSet::new();
    for entry in entries {
        match &entry {
            EntryChange::Written(record) => {
                listed.insert(record.id.clone());
            }
            // An entry that can't be read does not take the endpoint down that it may belong to.
            EntryChange::Unreadable { endpoint: Some(id), .. } => {
                listed.insert(id.clone());
            }
            EntryChange::Unreadable { endpoint: None, .. } | EntryChange::Removed(_) => {}
        }
        take(gateway, entry, doubt_until, unreadable);
    }
    let missing = gateway.endpoints().borrow().missing_from(&listed);
    for id in missing {
        take(gateway, EntryChange::Removed(id), doubt_until, unreadable);
    }
}

fn take<P: Platform>(
    gateway: &Gateway<P>,
    change: EntryChange,
    doubt_until: Option<Instant>,
    unreadable: &mut HashSet<Option<EndpointId>>,
) {
    let log = gateway.log();
    let mut book = gateway.endpoints().borrow_mut();
    match change {
        EntryChange::Written(record) => {
            let (id, address) = (record.id.clone(), record.address);
            let (service, is_leaving) = (record.service.clone(), record.is_leaving);
            let effect = book.insert(record);
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
        EntryChange::Removed(id) => match doubt_until {
            Some(until) => book.mark_missing(&id, until),
            None => {
                if book.remove(&id) {
                    info!(log, "endpoint removed"; "endpoint" => %id);
                }
            }
        },
    }
    let open = book.iter().filter(|endpoint| endpoint.is_open()).count();
    gateway.metrics().open_endpoints.set(i64::try_from(open).unwrap_or(i64::MAX));
}

fn remove_missing<P: Platform>(gateway: &Gateway<P>) {
    for id in gateway.endpoints().borrow_mut().remove_missing(Instant::now()) {
        info!(gateway.log(), "endpoint removed: its entry did not come back"; "endpoint" => %id);
    }
}
