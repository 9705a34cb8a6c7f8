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

use super::{ScaledInterval, DependencyTracker};
use crate::{
    funds::{EndedProcess, TakeoverOutcome},
    gateway::{Gateway, StopPhase},
    platform_api::{FleetStore, Platform},
    loans::LoanClient,
    members::{PresenceRecord, boot_millis, unix_millis},
};

/// The time between two presence records. What a process can have spent is judged by the record's age. In a large fleet an
/// outage may release standby tokens at once, and more of them are lost with a process, since its record is older.
const ROUND_TIME: ScaledInterval = ScaledInterval {
    shortest: Duration::from_millis(600),
    small_fleet: 16,
    longest: Duration::from_secs(2),
};

/// The time between two looks whether the spent standby tokens are written down.
const ABSENT_PAUSE: Duration = Duration::from_millis(50);

/// Gateways that are asked for the time.
const CLOCK_PEERS: usize = 4;

/// The pause between two tries to learn the time from other gateways.
const CLOCK_PAUSE: Duration = Duration::from_millis(100);

/// Tries to learn the time from other gateways. They may still be starting.
const CLOCK_TRIES: usize = 20;

/// The earlier process of the instance, and where the other gateways are reached.
#[derive(Debug)]
struct Predecessor {
    record: PresenceRecord,
    version: StoreVersion,
    peers: Vec<SocketAddr>,
}

/// Takes over from the instance's earlier process, and then writes presence records until the process leaves.
pub(crate) async fn maintain_presence<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut contact = DependencyTracker::new("presence records", gateway.log());
    let started_at_ms = boot_millis();
    loop {
        match take_over_predecessor(&gateway, started_at_ms).await {
            Ok(outcome) => {
                info!(gateway.log(), "takeover from the instance's earlier process"; "outcome" => ?outcome);
                break;
            }
            Err(reason) => contact.pause_after(reason).await,
        }
    }
    while gateway.stop_phase() == StopPhase::Running {
        match round(&gateway).await {
            Ok(is_present) => {
                contact.note_answer();
                let members = gateway.members().borrow().count();
                sleep(if is_present { ROUND_TIME.at(members) } else { ABSENT_PAUSE }).await;
            }
            Err(reason) => {
                gateway.funds().book().borrow_mut().set_store_reachable(false);
                contact.pause_after(reason).await;
            }
        }
    }
}

/// Writes the presence once. False if tokens that were spent out of standby are not yet written down as spent.
async fn round<P: Platform>(gateway: &Gateway<P>) -> Result<bool, UnavailableReason> {
    let peers = gateway.members().borrow().peer_addresses();
    compare_clocks(gateway, &peers).await;
    if !gateway.funds().book().borrow().can_write_presence() {
        return Ok(false);
    }
    // A write that is sent in vain could still take effect, and would hold standby tokens back. A cheap read shows first
    // whether the store answers.
    gateway.store().list_members().await?;
    let record = {
        let mut book = gateway.funds().book().borrow_mut();
        if !book.can_write_presence() {
            return Ok(false);
        }
        // The record's time is read first, so that a successor takes it for at least as old as this process does.
        let written_at_ms = gateway.fleet_clock().now(boot_millis());
        book.record_presence(Instant::now());
        let members = gateway.members().borrow();
        let own = members.own();
        let (incarnation, peer_address) = (own.incarnation, own.peer_address);
        PresenceRecord { incarnation, peer_address, written_at_ms }
    };
    let instance = &gateway.settings().instance;
    gateway.store().write_presence(instance, &record).await?;
    Ok(true)
}

/// Asks some gateways for the time. False if too few answered in time.
async fn compare_clocks<P: Platform>(gateway: &Gateway<P>, peers: &[SocketAddr]) -> bool {
    let asked_at_ms = boot_millis();
    let asked: Vec<_> = peers.choose_multiple(&mut rand::rng(), CLOCK_PEERS).copied().collect();
    let told = join_all(asked.into_iter().map(|peer| LoanClient.ask_time(peer))).await;
    let mut times: Vec<_> = told.into_iter().flatten().collect();
    times.push(unix_millis());
    gateway.fleet_clock().compare(&mut times, asked_at_ms, boot_millis())
}

/// Gives the standby tokens of the instance's earlier process back that it can't have spent. That process has ended: this
/// one listens on its ports since `started_at_ms`, in milliseconds since the instance's start.
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

/// The presence record of the instance's earlier process.
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

/// How old the record was at the most when the predecessor ended, by the clocks of most instances; nothing if that is not
/// known.
async fn record_age<P: Platform>(
    gateway: &Gateway<P>,
    predecessor: &Predecessor,
    started_at_ms: u64,
) -> Option<Duration> {
    let written_at_ms = predecessor.record.written_at_ms?;
    let mut tries = 0;
    while !compare_clocks(gateway, &predecessor.peers).await {
        tries += 1;
        if tries == CLOCK_TRIES {
            return None;
        }
        sleep(CLOCK_PAUSE).await;
    }
    gateway.fleet_clock().age_at(written_at_ms, started_at_ms, boot_millis())
}
