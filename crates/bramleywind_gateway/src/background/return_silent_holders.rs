use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{IncarnationId, InstanceId};
use compio::time::sleep;
use slog::info;

use super::maintain_presence::record_age;
use crate::{
    funds::{EndedProcess, SpentBound, TakeoverOutcome},
    gateway::Gateway,
    members::{PresenceRecord, boot_millis},
    platform_api::{FleetStore, Platform, PresenceOutcome},
    witness::SilentHolder,
};

/// The interval between checks for holders that have fallen silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long after the start the holders are looked for that named the instance's earlier process as their witness. Those that are alive
/// name another one by then.
const ORPHAN_DELAY: Duration = Duration::from_secs(5);

type StoredPresence = (InstanceId, PresenceRecord, StoreVersion);

/// Returns the tokens of processes that named this one, or the instance's earlier process, as their witness and have fallen silent. Such
/// a process may run on: it spends no more than the ceilings that its witness has confirmed.
pub(crate) async fn return_silent_holders<P: Platform>(gateway: Rc<Gateway<P>>) {
    let started_at_ms = boot_millis();
    let orphans = return_orphans(&gateway, started_at_ms);
    let silent = return_silent(&gateway);
    futures_util::join!(orphans, silent);
}

async fn return_silent<P: Platform>(gateway: &Gateway<P>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let has_silent = gateway.witness_registry().borrow().has_silent(Instant::now());
        if has_silent && let Err(reason) = return_silent_once(gateway).await {
            info!(gateway.log(), "tokens of a silent process not returned; trying again"; "reason" => ?reason);
        }
    }
}

async fn return_silent_once<P: Platform>(gateway: &Gateway<P>) -> Result<(), UnavailableReason> {
    let stored = gateway.store().list_presences().await?;
    let own = gateway.members().borrow().own().incarnation;
    let is_witnessed = |holder: IncarnationId| {
        stored.iter().any(|(_, record, _)| record.incarnation == holder && names(record, own))
    };
    let silent = gateway.witness_registry().borrow_mut().close_silent(is_witnessed, Instant::now());
    for SilentHolder { incarnation, ceilings } in silent {
        let presence = stored.iter().find(|(_, record, _)| record.incarnation == incarnation);
        if let Some(presence) = presence
            && return_tokens(gateway, presence, SpentBound::Ceilings(ceilings)).await?
        {
            gateway.witness_registry().borrow_mut().forget(incarnation);
        }
    }
    Ok(())
}

/// Returns the standby tokens of processes whose witness was the instance's earlier process. That one has ended, so they have spent none
/// since this process started.
async fn return_orphans<P: Platform>(gateway: &Gateway<P>, started_at_ms: u64) {
    loop {
        sleep(ORPHAN_DELAY).await;
        match return_orphans_once(gateway, started_at_ms).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(reason) => {
                info!(gateway.log(), "tokens without a witness not returned; trying again"; "reason" => ?reason);
            }
        }
    }
}

/// Does so once. Returns `false` if the clocks of too few gateways could be compared.
async fn return_orphans_once<P: Platform>(
    gateway: &Gateway<P>,
    started_at_ms: u64,
) -> Result<bool, UnavailableReason> {
    let own = gateway.members().borrow().own().incarnation;
    let instance = &gateway.settings().instance;
    let stored = gateway.store().list_presences().await?;
    let peers: Vec<_> = stored.iter().map(|(_, record, _)| record.peer_address).collect();
    let is_orphan = |(other, record, _): &&StoredPresence| {
        let is_named = record.witness.as_ref().is_some_and(|witness| witness.instance == *instance);
        other != instance && is_named && !names(record, own)
    };
    let mut is_complete = true;
    for presence in stored.iter().filter(is_orphan) {
        let (_, record, _) = presence;
        let Some(written_at_ms) = record.written_at_ms else { continue };
        // The process is alive, or has a successor on its instance, which knows more.
        if gateway.funds().loan_client().fetch_time(record.peer_address).await.is_some() {
            continue;
        }
        let age = record_age(gateway, written_at_ms, &peers, started_at_ms).await;
        let Some(age) = age else {
            is_complete = false;
            continue;
        };
        return_tokens(gateway, presence, SpentBound::Age(age)).await?;
    }
    Ok(is_complete)
}

/// Returns the tokens that a process cannot have spent. Returns `false` if its presence record has changed, so that the process is alive
/// or has a successor.
async fn return_tokens<P: Platform>(
    gateway: &Gateway<P>,
    (instance, record, version): &StoredPresence,
    bound: SpentBound,
) -> Result<bool, UnavailableReason> {
    let mut presence_version = *version;
    if !record.is_closed {
        // From this write on, the process cannot change its record without noticing that its tokens are returned.
        let closed = PresenceRecord { is_closed: true, ..record.clone() };
        match gateway.store().write_presence(instance, &closed, *version).await {
            PresenceOutcome::Written(written) => presence_version = written,
            PresenceOutcome::Conflict => return Ok(false),
            PresenceOutcome::NotWritten(reason) | PresenceOutcome::Unknown(reason) => {
                return Err(reason);
            }
        }
    }
    let incarnation = record.incarnation;
    info!(gateway.log(), "returning the tokens of a silent process"; "instance" => %instance, "incarnation" => %incarnation,
        "bound" => %bound);
    let ended = EndedProcess { instance: instance.clone(), incarnation, presence_version, bound };
    let outcome = ended.close_grants(gateway.store(), gateway.log()).await?;
    info!(gateway.log(), "tokens of a silent process returned"; "incarnation" => %incarnation, "outcome" => ?outcome);
    Ok(outcome != TakeoverOutcome::PresenceChanged)
}

/// Returns whether a record names this witness.
fn names(record: &PresenceRecord, witness: IncarnationId) -> bool {
    record.witness.as_ref().is_some_and(|named| named.incarnation == witness)
}
