use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::CRASH_RETENTION;
use bramleywind_store::{StoreVersion, UnavailableReason};
use compio::time::sleep;
use slog::{info, warn};

use super::{DependencyTracker, MAX_READERS_ASKED, MAX_RELAYED_AGE};
use crate::{
    gateway::{Gateway, StopPhase},
    members::{MemberRecord, unix_millis},
    platform_api::{FleetListing, FleetStore, LeaseId, MemberOutcome, Platform},
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

/// How long after the own record was written a list may lack it. A list may be some seconds old.
const LISTING_DELAY: Duration = Duration::from_secs(4);

/// The own record in the member list.
#[derive(Debug, Default)]
struct OwnEntry {
    lease: Option<LeaseId>,
    /// The version that the next write expects.
    version: StoreVersion,
    written_at: Option<Instant>,
}

/// Keeps this process in the member list and the list in sync with the store. Ends once the process leaves.
pub(crate) async fn maintain_membership<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut tracker = DependencyTracker::new("member list", gateway.log());
    let mut entry = OwnEntry::default();
    while gateway.stop_phase() == StopPhase::Running {
        match renew_membership(&gateway, &mut entry).await {
            Ok(()) => {
                tracker.record_success();
                let is_relaying = gateway.members().borrow().registry_readers().is_relaying;
                sleep(if is_relaying { RELAY_INTERVAL } else { RENEWAL_INTERVAL }).await;
            }
            Err(reason) => tracker.back_off(reason).await,
        }
    }
    if let Some(lease) = entry.lease {
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
    entry: &mut OwnEntry,
) -> Result<(), UnavailableReason> {
    let is_renewed = match entry.lease {
        Some(lease) => gateway.store().renew_lease(lease).await?,
        None => false,
    };
    if !is_renewed {
        entry.lease = None;
        enter_list(gateway, entry).await?;
    }
    let listing = read_fleet(gateway).await?;
    gateway.adopt_quarantines(&listing.quarantines);
    gateway.adopt_part_quarantines(&listing.part_quarantines);
    if is_missing(gateway, entry, &listing.members) {
        // The lease that is renewed is not the one that the record belongs to, or belonged to.
        warn!(gateway.log(), "own record is missing from the member list; writing it again"; "lease" => ?entry.lease,
            "listed" => listing.members.len());
        entry.lease = None;
    }
    update_members(gateway, listing.members);
    if let Err(reason) = save_quarantines(gateway).await {
        info!(gateway.log(), "refused requests not written to the store; trying again"; "reason" => ?reason);
    }
    if let Err(reason) = save_part_quarantines(gateway).await {
        info!(gateway.log(), "refused parts of prompts not written to the store; trying again"; "reason" => ?reason);
    }
    Ok(())
}

/// Writes the own record under a new lease.
async fn enter_list<P: Platform>(
    gateway: &Gateway<P>,
    entry: &mut OwnEntry,
) -> Result<(), UnavailableReason> {
    let store = gateway.store();
    let lease = store.take_lease(LEASE_DURATION).await?;
    let own = gateway.members().borrow().own().clone();
    // An earlier write that is executed late fails on its condition once this one was applied. A conflict shows that it came first, or
    // that the record of an earlier process is still there.
    let mut outcome = store.write_member(&own, lease, entry.version).await?;
    if let MemberOutcome::Conflict(version) = outcome {
        entry.version = version;
        outcome = store.write_member(&own, lease, version).await?;
    }
    match outcome {
        MemberOutcome::Written(version) => {
            *entry = OwnEntry { lease: Some(lease), version, written_at: Some(Instant::now()) };
            info!(gateway.log(), "entered the member list"; "lease" => %lease, "version" => %version);
        }
        MemberOutcome::Conflict(version) => entry.version = version,
        MemberOutcome::LeaseEnded => {}
    }
    Ok(())
}

/// Returns whether a list lacks the record of this process, although it was written before the list can have been read.
fn is_missing<P: Platform>(
    gateway: &Gateway<P>,
    entry: &OwnEntry,
    listed: &[MemberRecord],
) -> bool {
    let own = gateway.members().borrow().own().incarnation;
    let is_listed = listed.iter().any(|member| member.incarnation == own);
    let is_due = entry.written_at.is_some_and(|at| Instant::now() >= at + LISTING_DELAY);
    entry.lease.is_some() && is_due && !is_listed
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
            let outcome = store.write_quarantine(&record, lease).await;
            if !settle_leased_write(gateway, lease, outcome).await? {
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
            let outcome = store.write_part_quarantine(&record, lease).await;
            if !settle_leased_write(gateway, lease, outcome).await? {
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

/// Ends the lease of a write that had no answer, so that the write fails if it is executed later. It would bring back a refusal that was
/// removed meanwhile.
async fn settle_leased_write<P: Platform>(
    gateway: &Gateway<P>,
    lease: LeaseId,
    outcome: Result<bool, UnavailableReason>,
) -> Result<bool, UnavailableReason> {
    if outcome.is_err()
        && let Err(reason) = gateway.store().end_lease(lease).await
    {
        info!(gateway.log(), "lease of a write in doubt could not be ended; it will expire"; "lease" => %lease,
            "reason" => ?reason);
    }
    outcome
}
