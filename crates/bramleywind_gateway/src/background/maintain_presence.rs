use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{StoreVersion, UnavailableReason};
use compio::time::sleep;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use slog::info;

use super::{DependencyTracker, ScaledInterval};
use crate::{
    funds::{EndedProcess, TakeoverOutcome},
    gateway::{Gateway, StopPhase},
    members::{PresenceRecord, boot_millis, unix_millis},
    platform_api::{FleetStore, Platform},
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
    let started_at_ms = boot_millis();
    loop {
        match take_over_predecessor(&gateway, started_at_ms).await {
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
        if !gateway.funds().ledger().borrow().is_holder(Instant::now()) {
            sleep(GRANT_POLL_INTERVAL).await;
            continue;
        }
        match refresh_presence(&gateway).await {
            Ok(is_written) => {
                tracker.record_success();
                let members = gateway.members().borrow().count();
                // At most one process for each budget writes records.
                let budgets = gateway.funds().ledger().borrow().accounts().count();
                sleep(if is_written {
                    PRESENCE_INTERVAL.for_members(members.min(budgets))
                } else {
                    GRANT_POLL_INTERVAL
                })
                .await;
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
    // An unanswered write could still take effect later, and would hold standby tokens back. A cheap read checks first
    // that the store answers.
    gateway.store().check_answer(&gateway.settings().instance).await?;
    let record = {
        let mut ledger = gateway.funds().ledger().borrow_mut();
        if !ledger.can_write_presence() {
            return Ok(false);
        }
        // The record's time is read first, so that a successor judges the record at least as old as this process does.
        let written_at_ms = gateway.fleet_clock().now(boot_millis());
        let members = gateway.members().borrow();
        let own = members.own();
        let (incarnation, peer_address) = (own.incarnation, own.peer_address);
        let record = PresenceRecord { incarnation, peer_address, written_at_ms };
        if !record.is_useful(members.count()) {
            return Ok(false);
        }
        ledger.record_presence(Instant::now());
        record
    };
    let instance = &gateway.settings().instance;
    gateway.store().write_presence(instance, &record).await?;
    gateway.funds().ledger().borrow_mut().confirm_presence();
    Ok(true)
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

/// Returns the standby tokens that the instance's earlier process cannot have spent to their pools. That process has
/// ended, since this one has been listening on its ports since `started_at_ms`, in milliseconds since the instance's
/// boot.
async fn take_over_predecessor<P: Platform>(
    gateway: &Gateway<P>,
    started_at_ms: u64,
) -> Result<TakeoverOutcome, UnavailableReason> {
    let Some(predecessor) = find_predecessor(gateway).await? else {
        return Ok(TakeoverOutcome::NothingToTake);
    };
    let Some(age) = record_age(gateway, &predecessor, started_at_ms).await else {
        return Ok(TakeoverOutcome::AgeUnknown);
    };
    let incarnation = predecessor.record.incarnation;
    info!(gateway.log(), "earlier process found"; "incarnation" => %incarnation,
        "age_ms" => u64::try_from(age.as_millis()).ok());
    let ended = EndedProcess {
        instance: gateway.settings().instance.clone(),
        incarnation,
        presence_version: predecessor.version,
        age,
    };
    ended.close_grants(gateway.store(), gateway.log()).await
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

/// Returns the maximum age of the record when the predecessor ended, by the clocks of most instances, or `None` if it
/// is unknown.
async fn record_age<P: Platform>(
    gateway: &Gateway<P>,
    predecessor: &Predecessor,
    started_at_ms: u64,
) -> Option<Duration> {
    let written_at_ms = predecessor.record.written_at_ms?;
    let mut attempts = 0;
    // Only processes that hold tokens write presence records, so the members are asked too.
    while !compare_clocks(gateway, &known_peers(gateway, predecessor)).await {
        attempts += 1;
        if attempts == MAX_CLOCK_ATTEMPTS {
            return None;
        }
        sleep(CLOCK_RETRY_DELAY).await;
    }
    gateway.fleet_clock().age_at(written_at_ms, started_at_ms, boot_millis())
}

/// Returns the addresses of the other gateways according to the presence records and the member list.
fn known_peers<P: Platform>(gateway: &Gateway<P>, predecessor: &Predecessor) -> Vec<SocketAddr> {
    let mut peers = gateway.members().borrow().peer_addresses();
    peers.extend(&predecessor.peers);
    peers.sort_unstable();
    peers.dedup();
    peers
}
