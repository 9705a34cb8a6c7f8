use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bramleywind_ledger::{MemberRecord, ReclaimOutcome};
use bramleywind_peer::{MembershipView, PeerClient, PeerState};
use bramleywind_store::{ListOutcome, Store, StoreKey};
use bramleywind_types::{IncarnationId, InstanceId};
use slog::{info, warn};

use super::peer_watch::reclaim_rank;
use crate::{RouterState, RouterStore};

/// How often the member records are listed. One router makes one list call every 10 s and acts on the second, so
/// that the funds of a dead router are reclaimed within 30 s.
const SCAN_INTERVAL: Duration = Duration::from_secs(10);

/// Reclaims the funds of registered routers that no live router has heard from, for example after all routers
/// were replaced at once. Only the live router with the smallest name does so.
pub async fn scan_members(state: Rc<RouterState>, store: RouterStore, client: PeerClient) {
    let mut absent: BTreeMap<IncarnationId, InstanceId> = BTreeMap::new();
    let mut closed: BTreeSet<IncarnationId> = BTreeSet::new();
    loop {
        compio::time::sleep(SCAN_INTERVAL).await;
        let view = client.view();
        if reclaim_rank(&state, &view) > 0 || state.drain.borrow().is_leaving() {
            absent.clear();
            continue;
        }
        let entries = match store.list(StoreKey::MEMBERS).await {
            ListOutcome::Found(entries) => entries,
            ListOutcome::Unavailable(reason) => {
                warn!(state.log, "the member records could not be listed; trying again later"; "reason" => ?reason);
                continue;
            }
        };
        let records =
            entries.iter().filter_map(|entry| MemberRecord::from_bytes(&entry.entry.value).ok());
        let ended: BTreeMap<_, _> =
            records.flat_map(|record| ended_incarnations(&state, &view, &record)).collect();
        closed.retain(|incarnation| ended.contains_key(incarnation));
        for (incarnation, instance) in &ended {
            // The incarnation must be absent in two consecutive scans: the first heartbeat of a router that is just
            // starting arrives before the second scan.
            if !absent.contains_key(incarnation) || closed.contains(incarnation) {
                continue;
            }
            let outcome = state.ledger.reclaim(instance, *incarnation).await;
            info!(state.log, "reclaim of an absent router"; "peer" => %instance,
                "incarnation" => %incarnation, "outcome" => ?outcome);
            if outcome == ReclaimOutcome::Closed {
                closed.insert(*incarnation);
            }
        }
        absent = ended;
    }
}

/// Returns the incarnations in a member record that do not belong to a live router, each with its instance.
fn ended_incarnations(
    state: &RouterState,
    view: &MembershipView,
    record: &MemberRecord,
) -> Vec<(IncarnationId, InstanceId)> {
    let is_present = |incarnation: &IncarnationId| {
        let peer = view.peers.get(&record.instance);
        let is_peer = peer.is_some_and(|peer| {
            peer.state != PeerState::Dead && peer.heartbeat.status.incarnation == *incarnation
        });
        is_peer || state.ledger.incarnation() == *incarnation
    };
    std::iter::once(&record.incarnation)
        .chain(record.superseded.keys())
        .filter(|incarnation| !is_present(incarnation))
        .map(|incarnation| (*incarnation, record.instance.clone()))
        .collect()
}
