use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::CRASH_RETENTION;
use bramleywind_store::UnavailableReason;
use compio::time::sleep;
use slog::{info, warn};

use super::{DependencyTracker, MAX_READERS_ASKED, MAX_RELAYED_AGE};
use crate::{
    gateway::{Gateway, StopPhase},
    members::{MemberRecord, unix_millis},
    platform_api::{FleetListing, FleetStore, LeaseId, Platform},
};

/// The interval between renewals. A gateway that died is removed from entry answers within this interval plus
/// [`LEASE_DURATION`].
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which a gateway reads the list that it reads for others. A list that has come through another gateway must not be much
/// older than one from the store: lenders and issuers of permits follow from it.
const RELAY_INTERVAL: Duration = Duration::from_millis(500);

/// How long the entry lasts without a renewal. It allows for three missed renewals, so that a slow one does not remove
/// a live gateway.
const LEASE_DURATION: Duration = Duration::from_millis(3_500);

/// Keeps this process in the member list and the list in sync with the store. Ends once the process leaves.
pub(crate) async fn maintain_membership<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut tracker = DependencyTracker::new("member list", gateway.log());
    let mut lease = None;
    while gateway.stop_phase() == StopPhase::Running {
        match renew_membership(&gateway, &mut lease).await {
            Ok(()) => {
                tracker.record_success();
                let is_relaying = gateway.members().borrow().registry_readers().is_relaying;
                sleep(if is_relaying { RELAY_INTERVAL } else { RENEWAL_INTERVAL }).await;
            }
            Err(reason) => tracker.back_off(reason).await,
        }
    }
    if let Some(lease) = lease {
        match gateway.store().end_lease(lease).await {
            Ok(()) => info!(gateway.log(), "left the member list"),
            Err(reason) => {
                warn!(gateway.log(), "could not leave the member list; the lease will expire";
                    "reason" => ?reason);
            }
        }
    }
}

async fn renew_membership<P: Platform>(
    gateway: &Gateway<P>,
    lease: &mut Option<LeaseId>,
) -> Result<(), UnavailableReason> {
    let store = gateway.store();
    let is_renewed = match *lease {
        Some(lease) => store.renew_lease(lease).await?,
        None => false,
    };
    if !is_renewed {
        *lease = None;
        let new_lease = store.take_lease(LEASE_DURATION).await?;
        let own = gateway.members().borrow().own().clone();
        if store.write_member(&own, new_lease).await? {
            *lease = Some(new_lease);
            info!(gateway.log(), "entered the member list"; "lease" => %new_lease);
        }
    }
    let listing = read_fleet(gateway).await?;
    gateway.adopt_quarantines(&listing.quarantines);
    gateway.adopt_part_quarantines(&listing.part_quarantines);
    update_members(gateway, listing.members);
    if let Err(reason) = save_quarantines(gateway).await {
        info!(gateway.log(), "refused requests not written to the store; trying again"; "reason" => ?reason);
    }
    if let Err(reason) = save_part_quarantines(gateway).await {
        info!(gateway.log(), "refused parts of prompts not written to the store; trying again"; "reason" => ?reason);
    }
    Ok(())
}

/// Reads the list of gateways: from a gateway that reads it for others, or from the store.
async fn read_fleet<P: Platform>(gateway: &Gateway<P>) -> Result<FleetListing, UnavailableReason> {
    let readers = gateway.members().borrow().registry_readers();
    let asked_at = Instant::now();
    if !readers.is_own {
        let client = gateway.funds().loan_client();
        for reader in client.order_by_health(readers.others).into_iter().take(MAX_READERS_ASKED) {
            match client.query_fleet(reader, &gateway.fleet_query()).await {
                Ok(Some(answer)) if Duration::from_millis(answer.age_ms) <= MAX_RELAYED_AGE => {
                    return Ok(gateway.apply_fleet_answer(answer, asked_at));
                }
                Ok(answer) => {
                    info!(gateway.log(), "another gateway's list of gateways is old"; "asked" => %reader,
                    "age_ms" => answer.map(|answer| answer.age_ms))
                }
                Err(error) => {
                    info!(gateway.log(), "no answer about the list of gateways"; "asked" => %reader, "error" => &*error)
                }
            }
        }
    }
    let listing = gateway.store().list_fleet().await?;
    gateway.keep_fleet_listing(listing.clone(), asked_at);
    Ok(listing)
}

fn update_members<P: Platform>(gateway: &Gateway<P>, listed: Vec<MemberRecord>) {
    let count = listed.len();
    let mut members = gateway.members().borrow_mut();
    let before = members.count();
    let is_accepted = members.update(listed, Instant::now());
    if members.count() != before || !is_accepted {
        info!(gateway.log(), "member list changed"; "listed" => count, "believed" => is_accepted,
            "before" => before, "now" => members.count());
    }
    gateway.metrics().members.set(i64::try_from(members.count()).unwrap_or(i64::MAX));
    drop(members);
    gateway.update_primaries();
}

/// Writes the records of refused requests to the store, and removes those of requests that are no longer refused.
async fn save_quarantines<P: Platform>(gateway: &Gateway<P>) -> Result<(), UnavailableReason> {
    let (store, guard) = (gateway.store(), gateway.crash_guard());
    loop {
        let Some(fingerprint) = guard.borrow().next_unsaved() else { break };
        let record = guard.borrow().record_of(&fingerprint, unix_millis(), Instant::now());
        if let Some(record) = record {
            let lease = store.take_lease(CRASH_RETENTION).await?;
            if !store.write_quarantine(&record, lease).await? {
                break;
            }
        }
        guard.borrow_mut().mark_saved(&fingerprint);
    }
    loop {
        let Some(fingerprint) = guard.borrow().next_unremoved() else { break };
        store.remove_quarantine(&fingerprint).await?;
        guard.borrow_mut().mark_removed(&fingerprint);
    }
    Ok(())
}

/// Writes the records of refused parts of prompts to the store, and removes those of parts that are no longer refused.
async fn save_part_quarantines<P: Platform>(gateway: &Gateway<P>) -> Result<(), UnavailableReason> {
    let (store, guard) = (gateway.store(), gateway.part_guard());
    loop {
        let next = guard.borrow().next_unsaved(unix_millis(), Instant::now());
        let Some((part, record)) = next else { break };
        if let Some(record) = record {
            let lease = store.take_lease(CRASH_RETENTION).await?;
            if !store.write_part_quarantine(&record, lease).await? {
                break;
            }
        }
        guard.borrow_mut().mark_saved(&part);
    }
    loop {
        let Some(part) = guard.borrow().next_unremoved() else { break };
        store.remove_part_quarantine(&part).await?;
        guard.borrow_mut().mark_removed(&part);
    }
    Ok(())
}
