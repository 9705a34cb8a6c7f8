use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{StoreVersion, UnavailableReason};
use compio::time::{sleep, timeout};
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use slog::info;

use super::{DependencyTracker, ScaledInterval};
use crate::{
    funds::{EndedProcess, SpentBound, TakeoverOutcome},
    gateway::{Gateway, StopPhase},
    members::{BootTime, PresenceRecord, boot_millis, unix_millis},
    platform_api::{FleetStore, Platform, PresenceOutcome},
    witness::WitnessRecord,
};

/// The interval between presence records. The age of the record determines how much a process can have spent. In a
/// large fleet, an outage may release standby tokens at once, and more of them are lost with a process, since its
/// record is older.
const PRESENCE_INTERVAL: ScaledInterval = ScaledInterval {
    min: Duration::from_millis(600),
    base_members: 16,
    max: Duration::from_secs(2),
};

/// The interval at which to check whether the grant covers the spent standby tokens.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The number of gateways that are asked for the time.
const CLOCK_PEERS: usize = 4;

/// The delay between attempts to get the time from other gateways.
const CLOCK_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of attempts to get the time from other gateways, which may still be starting and joining.
const MAX_CLOCK_ATTEMPTS: usize = 50;

/// The maximum number of times that a witness is asked about an ended process.
const MAX_WITNESS_ATTEMPTS: usize = 5;

/// The presence record of the instance's earlier process, and the addresses of the other gateways.
#[derive(Debug)]
struct Predecessor {
    record: PresenceRecord,
    version: StoreVersion,
    peers: Vec<SocketAddr>,
}

/// Takes over from the instance's earlier process, and then writes presence records until this process leaves.
pub(crate) async fn maintain_presence<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut tracker = DependencyTracker::new("presence records", gateway.log());
    let started_at = BootTime::now();
    let started_at_ms = boot_millis();
    loop {
        match take_over_predecessor(&gateway, &started_at, started_at_ms).await {
            Ok(outcome) => {
                info!(gateway.log(), "takeover from the instance's earlier process"; "outcome" => ?outcome);
                if outcome != TakeoverOutcome::PresenceChanged {
                    break;
                }
            }
            Err(reason) => tracker.back_off(reason).await,
        }
    }
    while gateway.stop_phase() == StopPhase::Running {
        let is_holder = gateway.funds().ledger().borrow().is_holder(Instant::now());
        if !is_holder && !gateway.holder_link().borrow().needs_witness() {
            sleep(GRANT_POLL_INTERVAL).await;
            continue;
        }
        match refresh_presence(&gateway).await {
            Ok(is_written) => {
                tracker.record_success();
                let members = gateway.members().borrow().count();
                // At most one process for each budget writes records.
                let budgets = gateway.funds().ledger().borrow().accounts().count();
                let interval = if is_written {
                    PRESENCE_INTERVAL.for_members(members.min(budgets))
                } else {
                    GRANT_POLL_INTERVAL
                };
                // A lost witness is replaced at once.
                let _ = timeout(interval, gateway.wait_for_witness_loss()).await;
            }
            Err(reason) => {
                gateway.funds().ledger().borrow_mut().set_store_reachable(false);
                tracker.back_off(reason).await;
            }
        }
    }
}

/// Writes the presence record once. Returns `false` if the store's record does not yet count all spent standby tokens
/// as spent, or if the time is unknown.
async fn refresh_presence<P: Platform>(gateway: &Gateway<P>) -> Result<bool, UnavailableReason> {
    let peers = gateway.members().borrow().peer_addresses();
    compare_clocks(gateway, &peers).await;
    if !gateway.funds().ledger().borrow().can_write_presence() {
        return Ok(false);
    }
    let instance = &gateway.settings().instance;
    // An unanswered write could still take effect later, and would hold standby tokens back. A cheap read checks first
    // that the store answers.
    gateway.store().check_answer(instance).await?;
    let known_version = gateway.holder_link().borrow().version();
    let expected = match known_version {
        Some(version) => version,
        None => adopt_stored_record(gateway).await?,
    };
    write_record(gateway, expected).await
}

/// Writes the presence record in the place of the one with the version `expected`.
async fn write_record<P: Platform>(
    gateway: &Gateway<P>,
    expected: StoreVersion,
) -> Result<bool, UnavailableReason> {
    let witness = gateway.choose_witness().await;
    let Some(record) = begin_record(gateway, witness.clone()) else { return Ok(false) };
    let instance = &gateway.settings().instance;
    match gateway.store().write_presence(instance, &record, expected).await {
        PresenceOutcome::Written(version) => {
            gateway.holder_link().borrow_mut().finish_write(witness, version);
            gateway.funds().ledger().borrow_mut().confirm_presence();
            if gateway.holder_link().borrow().is_replaced() {
                read_returned_grants(gateway).await?;
            }
            if gateway.holder_link().borrow().has_no_witness() {
                gateway.funds().ledger().borrow_mut().end_witness();
            }
            Ok(true)
        }
        PresenceOutcome::Conflict => {
            adopt_stored_record(gateway).await?;
            Ok(false)
        }
        PresenceOutcome::NotWritten(reason) | PresenceOutcome::Unknown(reason) => Err(reason),
    }
}

/// Returns the presence record to write, unless it would be untrue or of no use.
fn begin_record<P: Platform>(
    gateway: &Gateway<P>,
    witness: Option<WitnessRecord>,
) -> Option<PresenceRecord> {
    let mut ledger = gateway.funds().ledger().borrow_mut();
    if !ledger.can_write_presence() {
        return None;
    }
    // The record's time is read first, so that a successor judges the record at least as old as this process does.
    let written_at_ms = gateway.fleet_clock().now(boot_millis());
    let members = gateway.members().borrow();
    let (incarnation, peer_address) = (members.own().incarnation, members.own().peer_address);
    let record = PresenceRecord {
        incarnation,
        peer_address,
        written_at_ms,
        witness: witness.clone(),
        is_closed: false,
        boot_time: BootTime::now(),
    };
    if !record.is_useful(members.count()) {
        return None;
    }
    ledger.record_presence(Instant::now());
    gateway.holder_link().borrow_mut().begin_write(witness);
    Some(record)
}

/// Reads the instance's presence record, which another process may have replaced, and returns its version.
async fn adopt_stored_record<P: Platform>(
    gateway: &Gateway<P>,
) -> Result<StoreVersion, UnavailableReason> {
    let presences = gateway.store().list_presences().await?;
    let instance = &gateway.settings().instance;
    let incarnation = gateway.members().borrow().own().incarnation;
    let stored = presences.into_iter().find(|(other, _, _)| other == instance);
    let mut link = gateway.holder_link().borrow_mut();
    match stored {
        Some((_, record, version)) if record.incarnation == incarnation && !record.is_closed => {
            link.finish_write(record.witness, version);
            Ok(version)
        }
        Some((_, record, version)) => {
            info!(gateway.log(), "presence record was replaced"; "incarnation" => %record.incarnation,
                "is_closed" => record.is_closed, "version" => %version);
            link.adopt_version(version);
            Ok(version)
        }
        None => {
            link.adopt_version(StoreVersion::MISSING);
            Ok(StoreVersion::MISSING)
        }
    }
}

/// Reads the grants, some of which another process may have returned before this one replaced its record.
async fn read_returned_grants<P: Platform>(gateway: &Gateway<P>) -> Result<(), UnavailableReason> {
    let entries = gateway.store().read_budgets(true).await?;
    let now = Instant::now();
    let mut ledger = gateway.funds().ledger().borrow_mut();
    ledger.apply_entries(entries, Some(now));
    ledger.mark_all_read(now);
    gateway.holder_link().borrow_mut().mark_grants_read();
    Ok(())
}

/// Asks some gateways for the time. Returns `false` if too few answered in time.
async fn compare_clocks<P: Platform>(gateway: &Gateway<P>, peers: &[SocketAddr]) -> bool {
    let asked_at_ms = boot_millis();
    let client = gateway.funds().loan_client();
    let chosen: Vec<_> = peers.choose_multiple(&mut rand::rng(), CLOCK_PEERS).copied().collect();
    let answers = join_all(chosen.into_iter().map(|peer| client.fetch_time(peer))).await;
    let mut times: Vec<_> = answers.into_iter().flatten().collect();
    times.push(unix_millis());
    gateway.fleet_clock().compare(&mut times, asked_at_ms, boot_millis())
}

/// Returns the tokens that the instance's earlier process cannot have spent to their pools. That process has
/// ended, since this one has been listening on its ports since `started_at_ms`, in milliseconds since the instance's
/// boot.
async fn take_over_predecessor<P: Platform>(
    gateway: &Gateway<P>,
    started_at: &BootTime,
    started_at_ms: u64,
) -> Result<TakeoverOutcome, UnavailableReason> {
    let Some(predecessor) = find_predecessor(gateway).await? else {
        return Ok(TakeoverOutcome::NothingToTake);
    };
    let Some(bound) = spent_bound(gateway, &predecessor, started_at, started_at_ms).await else {
        return Ok(TakeoverOutcome::AgeUnknown);
    };
    let incarnation = predecessor.record.incarnation;
    info!(gateway.log(), "earlier process found"; "incarnation" => %incarnation, "bound" => %bound);
    let ended = EndedProcess {
        instance: gateway.settings().instance.clone(),
        incarnation,
        presence_version: predecessor.version,
        bound,
    };
    ended.close_grants(gateway.store(), gateway.log()).await
}

/// Returns what the predecessor can have spent: the ceilings that its witness knows, or else what follows from the age of its presence
/// record. `None` if neither is known.
async fn spent_bound<P: Platform>(
    gateway: &Gateway<P>,
    predecessor: &Predecessor,
    started_at: &BootTime,
    started_at_ms: u64,
) -> Option<SpentBound> {
    let record = &predecessor.record;
    if let Some(witness) = &record.witness {
        for _ in 0..MAX_WITNESS_ATTEMPTS {
            match gateway.ceilings_of_ended(witness, record.incarnation).await {
                Ok(Some(ceilings)) => return Some(SpentBound::Ceilings(ceilings)),
                Ok(None) => break,
                Err(error) => {
                    info!(gateway.log(), "witness of the earlier process does not answer"; "witness" => %witness.instance,
                        "error" => &*error);
                    sleep(CLOCK_RETRY_DELAY).await;
                }
            }
        }
    }
    let by_clocks = match record.written_at_ms {
        Some(written_at_ms) => {
            record_age(gateway, written_at_ms, &predecessor.peers, started_at_ms).await
        }
        None => None,
    };
    let by_boot = started_at.since(&record.boot_time);
    info!(gateway.log(), "age of the earlier process's record judged"; "by_clocks" => ?by_clocks, "by_boot" => ?by_boot);
    SpentBound::from_ages(by_clocks, by_boot)
}

/// Returns the presence record of the instance's earlier process, if there is one.
async fn find_predecessor<P: Platform>(
    gateway: &Gateway<P>,
) -> Result<Option<Predecessor>, UnavailableReason> {
    let mut own = None;
    let mut peers = Vec::new();
    for (instance, record, version) in gateway.store().list_presences().await? {
        if instance == gateway.settings().instance {
            own = Some((record, version));
        } else {
            peers.push(record.peer_address);
        }
    }
    Ok(own.map(|(record, version)| Predecessor { record, version, peers }))
}

/// Returns the maximum age that a record of `written_at_ms` had when the instance's earlier process ended, by the clocks of most
/// instances, or `None` if it is unknown. `peers` are gateways that may not be members.
pub(super) async fn record_age<P: Platform>(
    gateway: &Gateway<P>,
    written_at_ms: u64,
    peers: &[SocketAddr],
    started_at_ms: u64,
) -> Option<Duration> {
    let mut attempts = 0;
    // Only processes that hold tokens write presence records, so the members are asked too.
    while !compare_clocks(gateway, &known_peers(gateway, peers)).await {
        attempts += 1;
        if attempts == MAX_CLOCK_ATTEMPTS {
            return None;
        }
        sleep(CLOCK_RETRY_DELAY).await;
    }
    gateway.fleet_clock().age_at(written_at_ms, started_at_ms, boot_millis())
}

/// Returns the addresses of the other gateways according to the presence records and the member list.
fn known_peers<P: Platform>(gateway: &Gateway<P>, peers: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut known = gateway.members().borrow().peer_addresses();
    known.extend(peers);
    known.sort_unstable();
    known.dedup();
    known
}
