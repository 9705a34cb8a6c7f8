use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_config::OperatorPublicKey;
use bramleywind_ledger::{PeerRecord, WitnessId};
use bramleywind_peer::{ConfigFetchOutcome, MembershipView, PeerClient, PeerState};
use bramleywind_types::{IncarnationId, InstanceId};
use compio::time::timeout;
use slog::{info, warn};

use super::accept_config;
use crate::{PeerLabel, RouterState};

/// How often the peers are looked at even if nothing was reported, for what a lost message may have hidden.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How much later each further router begins the reclaim of the same dead one. Long enough for a reclaim
/// to end, and short enough for the last of six to end within 30 s.
const RECLAIM_STAGGER: Duration = Duration::from_secs(3);

/// An incarnation that has ended as far as this router knows.
struct EndedIncarnation {
    instance: InstanceId,
    reclaim_at: Instant,
}

/// Follows the peers: tells the keeper of the funds about them, fetches newer configurations from them, and
/// reclaims what dead and superseded ones held.
pub async fn watch_peers(state: Rc<RouterState>, client: PeerClient, key: OperatorPublicKey) {
    let mut changes = client.changes();
    let mut incarnations: BTreeMap<InstanceId, IncarnationId> = BTreeMap::new();
    let mut ended: BTreeMap<IncarnationId, EndedIncarnation> = BTreeMap::new();
    loop {
        let view = client.view();
        state.ledger.set_peers(ledger_peers(&view));
        update_peer_gauges(&state, &view);
        track_ended(&state, &view, &mut incarnations, &mut ended);
        start_reclaims(&state, &mut ended);
        fetch_config(&state, &client, &view, &key).await;
        // Running out of time is the ordinary case of a quiet fleet.
        let _ = timeout(POLL_INTERVAL, changes.changed()).await;
    }
}

/// The peers that may hold journals and lend: all but the dead, since a suspect one may only be slow.
fn ledger_peers(view: &MembershipView) -> Vec<PeerRecord> {
    let alive = view.peers.values().filter(|record| record.state != PeerState::Dead);
    let record = |record: &bramleywind_peer::PeerRecord| PeerRecord {
        witness: WitnessId {
            instance: record.heartbeat.instance.clone(),
            run: record.heartbeat.run,
        },
        data_centre: record.heartbeat.data_centre.clone(),
        leaving: record.heartbeat.status.leaving,
    };
    alive.map(record).collect()
}

fn update_peer_gauges(state: &RouterState, view: &MembershipView) {
    for (label, wanted) in
        [("live", PeerState::Live), ("suspect", PeerState::Suspect), ("dead", PeerState::Dead)]
    {
        let count = view.peers.values().filter(|record| record.state == wanted).count();
        let gauge = state.metrics.peers.get_or_create_owned(&PeerLabel { state: label });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

/// Notes incarnations whose router is dead or has taken another one, and forgets those of routers that are
/// back under the same one.
fn track_ended(
    state: &RouterState,
    view: &MembershipView,
    incarnations: &mut BTreeMap<InstanceId, IncarnationId>,
    ended: &mut BTreeMap<IncarnationId, EndedIncarnation>,
) {
    let now = Instant::now();
    for (instance, record) in &view.peers {
        let incarnation = record.heartbeat.status.incarnation;
        let reclaim_at = now + RECLAIM_STAGGER * reclaim_rank(state, view);
        let end = || EndedIncarnation { instance: instance.clone(), reclaim_at };
        let earlier = incarnations.insert(instance.clone(), incarnation);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != incarnation) {
            info!(state.log, "peer took a new incarnation"; "peer" => %instance,
                "earlier" => %earlier, "incarnation" => %incarnation);
            ended.entry(earlier).or_insert_with(end);
        }
        if record.state == PeerState::Dead {
            ended.entry(incarnation).or_insert_with(|| {
                warn!(state.log, "peer is dead"; "peer" => %instance, "incarnation" => %incarnation);
                end()
            });
        } else {
            ended.remove(&incarnation);
        }
    }
}

/// How many live routers reclaim before this one: those with smaller names.
pub(super) fn reclaim_rank(state: &RouterState, view: &MembershipView) -> u32 {
    let own = &state.identity.instance;
    let before = view.live().filter(|record| record.heartbeat.instance < *own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

fn start_reclaims(state: &Rc<RouterState>, ended: &mut BTreeMap<IncarnationId, EndedIncarnation>) {
    let now = Instant::now();
    for (incarnation, end) in ended.iter_mut().filter(|(_, end)| end.reclaim_at <= now) {
        // The keeper goes on with a reclaim that could not end; asking again only reports how it stands.
        end.reclaim_at = now + RECLAIM_REPORT_INTERVAL;
        let (state, instance, incarnation) = (state.clone(), end.instance.clone(), *incarnation);
        let reclaim = async move {
            let outcome = state.ledger.reclaim(&instance, incarnation).await;
            info!(state.log, "reclaim"; "peer" => %instance, "incarnation" => %incarnation,
                "outcome" => ?outcome);
        };
        compio::runtime::spawn(reclaim).detach();
    }
}

/// How often a reclaim that has not ended is reported in the log.
const RECLAIM_REPORT_INTERVAL: Duration = Duration::from_secs(30);

async fn fetch_config(
    state: &RouterState,
    client: &PeerClient,
    view: &MembershipView,
    key: &OperatorPublicKey,
) {
    let current = state.routes.borrow().as_ref().map(|routes| routes.revision);
    let newest = view
        .live()
        .filter(|record| record.heartbeat.status.revision > current)
        .max_by_key(|record| record.heartbeat.status.revision);
    let Some(peer) = newest else { return };
    let instance = &peer.heartbeat.instance;
    if let ConfigFetchOutcome::Found(copy) = client.fetch_config(instance).await {
        match serde_json::from_slice(&copy.document) {
            Ok(signed) => accept_config(state, &signed, key, instance.as_str()),
            Err(error) => {
                warn!(state.log, "the configuration of a peer is not readable";
                    "peer" => %instance, "error" => %error);
            }
        }
    }
}
