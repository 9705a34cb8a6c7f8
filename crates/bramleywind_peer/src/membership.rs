//! Tracks which peers are alive.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_types::{IncarnationId, InstanceId};
use futures_channel::oneshot;

use crate::{Heartbeat, MeshTiming, PeerState};

/// How long a dead peer stays in the view. Hundreds of instances are replaced each day, under new names.
const FORGET_AFTER: Duration = Duration::from_secs(60 * 60);

/// The most retired runs that are remembered.
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
    /// The run that last authenticated itself, by instance.
    runs: BTreeMap<InstanceId, IncarnationId>,
    /// Runs that a newer one of the same instance has replaced.
    retired: VecDeque<IncarnationId>,
    waiting: Vec<oneshot::Sender<()>>,
}

impl Membership {
    /// Records that a run has authenticated itself. False if a newer run of the instance did so before.
    pub(crate) fn admit(&mut self, instance: &InstanceId, run: IncarnationId) -> bool {
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

    /// Takes over a heartbeat, unless its run is retired.
    pub(crate) fn hear(&mut self, heartbeat: Heartbeat, now: Instant) {
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
            self.announce_change();
        }
    }

    /// Updates the states by the time since the last heartbeats. `pause` is time in which this process did not
    /// run, and so could not hear anybody.
    pub(crate) fn tick(&mut self, now: Instant, pause: Duration, timing: &MeshTiming) {
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
            self.announce_change();
        }
    }

    pub(crate) fn record_round_trip(&mut self, instance: &InstanceId, round_trip: Duration) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.round_trip = Some(round_trip);
        }
    }

    /// Where the live peers accept peers, except for one.
    pub(crate) fn live_addresses(&self, except: &InstanceId) -> Vec<SocketAddr> {
        let is_told = |peer: &&TrackedPeer| {
            peer.state == PeerState::Live && peer.heartbeat.instance != *except
        };
        self.peers.values().filter(is_told).map(|peer| peer.heartbeat.peer_address).collect()
    }

    pub(crate) fn announce_change(&mut self) {
        self.generation += 1;
        for waiter in self.waiting.drain(..) {
            // The listener may have gone.
            let _ = waiter.send(());
        }
    }

    pub(crate) fn wait_for_change(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.retain(|waiter| !waiter.is_canceled());
        self.waiting.push(sender);
        receiver
    }
}
