//! Failure detection: tracks which peers are alive.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_types::{IncarnationId, InstanceId};
use futures_channel::oneshot;

use crate::{Heartbeat, MeshTiming, PeerState};

/// How long a dead peer stays in the view. Hundreds of instances a day are replaced under new names, so dead
/// peers would otherwise accumulate.
const FORGET_AFTER: Duration = Duration::from_secs(60 * 60);

/// Limit on the retired runs that are remembered.
const MAX_RETIRED_RUNS: usize = 1_024;

#[derive(Debug)]
pub(crate) struct TrackedPeer {
    pub(crate) heartbeat: Heartbeat,
    pub(crate) last_heard: Instant,
    pub(crate) state: PeerState,
    pub(crate) round_trip: Option<Duration>,
}

#[derive(Debug, Default)]
pub(crate) struct Membership {
    pub(crate) peers: BTreeMap<InstanceId, TrackedPeer>,
    pub(crate) generation: u64,
    /// The run of each instance that authenticated last.
    runs: BTreeMap<InstanceId, IncarnationId>,
    /// Runs that were replaced by a newer one of the same instance.
    retired: VecDeque<IncarnationId>,
    waiters: Vec<oneshot::Sender<()>>,
}

impl Membership {
    /// Records that a run has authenticated. Returns false if a newer run of the instance has replaced it.
    pub(crate) fn admit_run(&mut self, instance: &InstanceId, run: IncarnationId) -> bool {
        if self.retired.contains(&run) {
            return false;
        }
        let previous = self.runs.insert(instance.clone(), run).filter(|previous| *previous != run);
        if let Some(previous) = previous {
            self.retired.push_back(previous);
            if self.retired.len() > MAX_RETIRED_RUNS {
                self.retired.pop_front();
            }
        }
        true
    }

    /// Records a heartbeat, unless its run is retired.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        if self.retired.contains(&heartbeat.run) {
            return;
        }
        let round_trip = self.peers.get(&heartbeat.instance).and_then(|peer| peer.round_trip);
        let instance = heartbeat.instance.clone();
        let peer = TrackedPeer { heartbeat, last_heard: now, state: PeerState::Live, round_trip };
        let is_changed = self.peers.get(&instance).is_none_or(|previous| {
            previous.state != peer.state || previous.heartbeat != peer.heartbeat
        });
        self.peers.insert(instance, peer);
        if is_changed {
            self.publish_change();
        }
    }

    /// Updates the state of each peer by the time since its last heartbeat. `pause` is the time for which this
    /// process did not run and so could not receive heartbeats; it does not count as silence.
    pub(crate) fn update_states(&mut self, now: Instant, pause: Duration, timing: &MeshTiming) {
        let mut is_changed = false;
        for peer in self.peers.values_mut() {
            peer.last_heard = (peer.last_heard + pause).min(now);
            let state = match now.saturating_duration_since(peer.last_heard) {
                silence if silence >= timing.dead_after => PeerState::Dead,
                silence if silence >= timing.suspect_after => PeerState::Suspect,
                _ => PeerState::Live,
            };
            is_changed |= peer.state != state;
            peer.state = state;
        }
        let count = self.peers.len();
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.last_heard) < FORGET_AFTER);
        if is_changed || self.peers.len() != count {
            self.publish_change();
        }
    }

    pub(crate) fn record_round_trip(&mut self, instance: &InstanceId, round_trip: Duration) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.round_trip = Some(round_trip);
        }
    }

    /// Returns the addresses on which live peers accept peers, except for one peer.
    pub(crate) fn live_peer_addresses(&self, except: &InstanceId) -> Vec<SocketAddr> {
        let is_included = |peer: &&TrackedPeer| {
            peer.state == PeerState::Live && peer.heartbeat.instance != *except
        };
        self.peers.values().filter(is_included).map(|peer| peer.heartbeat.peer_address).collect()
    }

    pub(crate) fn publish_change(&mut self) {
        self.generation += 1;
        for waiter in self.waiters.drain(..) {
            // The listener may have been dropped.
            let _ = waiter.send(());
        }
    }

    pub(crate) fn wait_for_change(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.retain(|waiter| !waiter.is_canceled());
        self.waiters.push(sender);
        receiver
    }
}
