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

/// How often the peers are checked when no change was reported, since a lost message may have hidden one.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The delay between the routers that start to reclaim the funds of the same dead router. It is long enough for
/// a reclaim to end, and short enough for the last of six routers to end within 30 s.
const RECLAIM_STAGGER: Duration = Duration::from_secs(3);

/// An incarnation that has ended according to this router's view.
struct EndedIncarnation {
    instance: InstanceId,
    reclaim_at: Instant,
}

/// Watches the peers: passes them to the token ledger, fetches newer configurations from them, and reclaims the
/// funds of dead and superseded incarnations.
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
        // A timeout is the normal case while no peer changes.
        let _ = timeout(POLL_INTERVAL, changes.changed()).await;
    }
}

/// Returns the peers that may replicate journals and lend tokens: all but the dead ones, because a suspect peer may
/// only be slow.
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

/// Adds the incarnations whose router is dead or has taken a new incarnation to `ended`, and removes those whose
/// router is alive again under the same incarnation.
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

/// Returns how many live routers reclaim before this one, which are those with smaller names.
pub(super) fn reclaim_rank(state: &RouterState, view: &MembershipView) -> u32 {
    let own = &state.identity.instance;
    let before = view.live().filter(|record| record.heartbeat.instance < *own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

fn start_reclaims(state: &Rc<RouterState>, ended: &mut BTreeMap<IncarnationId, EndedIncarnation>) {
    let now = Instant::now();
    for (incarnation, end) in ended.iter_mut().filter(|(_, end)| end.reclaim_at <= now) {
        // The ledger continues an unfinished reclaim on its own; another call only returns its progress.
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

/// How often the outcome of an unfinished reclaim is logged.
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
                warn!(state.log, "the configuration from a peer could not be parsed; keeping the current one";
                    "peer" => %instance, "error" => %error);
            }
        }
    }
}
