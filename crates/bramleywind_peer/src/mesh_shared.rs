//! State shared by the client handle and all connections. It is never borrowed across an await.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use bramleywind_types::InstanceId;
use bytes::Bytes;
use futures_channel::oneshot;

use crate::{
    ConnectionError, Heartbeat, LinkFault, MembershipView, MeshSettings, PeerRecord, PeerTraffic,
    RouterStatus,
    membership::Membership,
    message_bucket::MessageBucket,
    outbound_queue::OutboundReceiver,
    peer_link::PeerLink,
    wire::{FRAME_PREFIX_BYTES, FrameWriter, PeerIdentity},
};

/// Limit on the addresses that are dialed. The full mesh is meant for tens of routers.
const MAX_DIALED: usize = 1_024;

#[derive(Debug)]
pub(crate) struct MeshShared {
    pub(crate) settings: MeshSettings,
    /// The address at which peers reach this process.
    pub(crate) peer_address: SocketAddr,
    pub(crate) state: RefCell<MeshState>,
    dial_requests: async_channel::Sender<SocketAddr>,
}

#[derive(Debug, Default)]
pub(crate) struct MeshState {
    pub(crate) membership: Membership,
    /// The connections that this process dialed, by peer.
    pub(crate) links: BTreeMap<InstanceId, Rc<PeerLink>>,
    /// The connections that this process accepted, by peer.
    accepted: BTreeMap<InstanceId, AcceptedSlot>,
    dialed: BTreeSet<SocketAddr>,
    traffic: BTreeMap<InstanceId, PeerTraffic>,
    fault: LinkFault,
    refused_connections: u64,
    next_connection: u64,
}

#[derive(Debug)]
struct AcceptedSlot {
    connection: u64,
    /// Dropped when a newer connection replaces this one, which ends the receiver.
    _replaced: oneshot::Sender<()>,
}

impl MeshShared {
    pub(crate) fn new(
        settings: MeshSettings,
        peer_address: SocketAddr,
        dial_requests: async_channel::Sender<SocketAddr>,
    ) -> Self {
        Self { settings, peer_address, state: RefCell::default(), dial_requests }
    }

    pub(crate) fn identity(&self) -> PeerIdentity {
        PeerIdentity { instance: self.settings.instance.clone(), run: self.settings.run }
    }

    pub(crate) fn heartbeat(&self, status: RouterStatus) -> Heartbeat {
        Heartbeat {
            instance: self.settings.instance.clone(),
            run: self.settings.run,
            data_centre: self.settings.data_centre.clone(),
            peer_address: self.peer_address,
            status,
        }
    }

    /// Starts to dial an address, unless it is dialed already.
    pub(crate) fn request_dial(&self, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        if address == self.peer_address || state.dialed.len() >= MAX_DIALED {
            return;
        }
        if state.dialed.insert(address) {
            // The channel is unbounded, so sending fails only when the mesh has stopped.
            let _ = self.dial_requests.try_send(address);
        }
    }

    pub(crate) fn forget_dialed(&self, address: SocketAddr) {
        self.state.borrow_mut().dialed.remove(&address);
    }

    pub(crate) fn link(&self, instance: &InstanceId) -> Option<Rc<PeerLink>> {
        self.state.borrow().links.get(instance).cloned()
    }

    pub(crate) fn add_link(&self, link: Rc<PeerLink>) {
        let mut state = self.state.borrow_mut();
        state.links.insert(link.peer.instance.clone(), link);
        state.membership.publish_change();
    }

    pub(crate) fn remove_link(&self, link: &Rc<PeerLink>) {
        let mut state = self.state.borrow_mut();
        let current = state.links.get(&link.peer.instance);
        if current.is_some_and(|current| Rc::ptr_eq(current, link)) {
            state.links.remove(&link.peer.instance);
            state.membership.publish_change();
        }
    }

    /// Registers an accepted connection, which replaces an older one of the same peer. Returns the number of
    /// the connection and a receiver that ends when a newer one replaces it.
    pub(crate) fn add_accepted(&self, instance: &InstanceId) -> (u64, oneshot::Receiver<()>) {
        let mut state = self.state.borrow_mut();
        state.next_connection += 1;
        let connection = state.next_connection;
        let (sender, receiver) = oneshot::channel();
        let slot = AcceptedSlot { connection, _replaced: sender };
        state.accepted.insert(instance.clone(), slot);
        (connection, receiver)
    }

    pub(crate) fn remove_accepted(&self, instance: &InstanceId, connection: u64) {
        let mut state = self.state.borrow_mut();
        if state.accepted.get(instance).is_some_and(|slot| slot.connection == connection) {
            state.accepted.remove(instance);
        }
    }

    pub(crate) fn set_fault(&self, fault: LinkFault) {
        self.state.borrow_mut().fault = fault;
    }

    pub(crate) fn is_cut_to(&self, instance: &InstanceId) -> bool {
        self.state.borrow().fault.cut_to.contains(instance)
    }

    pub(crate) fn is_cut_from(&self, instance: &InstanceId) -> bool {
        self.state.borrow().fault.cut_from.contains(instance)
    }

    pub(crate) fn count_received(&self, instance: &InstanceId, message: &Bytes) {
        let mut state = self.state.borrow_mut();
        let traffic = state.traffic.entry(instance.clone()).or_default();
        traffic.messages_in += 1;
        traffic.bytes_in += (FRAME_PREFIX_BYTES + message.len()) as u64;
    }

    fn count_sent(&self, instance: &InstanceId, bytes: usize) {
        let mut state = self.state.borrow_mut();
        let traffic = state.traffic.entry(instance.clone()).or_default();
        traffic.messages_out += 1;
        traffic.bytes_out += bytes as u64;
    }

    /// Counts a connection that ended: as a violation if an authenticated peer caused one, as a refusal if the
    /// peer was never authenticated.
    pub(crate) fn count_connection_end(
        &self,
        instance: Option<&InstanceId>,
        error: &ConnectionError,
    ) {
        let mut state = self.state.borrow_mut();
        match instance {
            Some(instance) if error.is_violation() => {
                state.traffic.entry(instance.clone()).or_default().violations += 1;
            }
            Some(_) => {}
            None => state.refused_connections += 1,
        }
    }

    pub(crate) fn traffic(&self, instance: &InstanceId) -> PeerTraffic {
        self.state.borrow().traffic.get(instance).copied().unwrap_or_default()
    }

    pub(crate) fn view(&self) -> MembershipView {
        let now = Instant::now();
        let state = self.state.borrow();
        let record = |(instance, peer): (&InstanceId, &crate::membership::TrackedPeer)| {
            let record = PeerRecord {
                heartbeat: peer.heartbeat.clone(),
                state: peer.state,
                connected: state.links.contains_key(instance),
                silent_ms: now.saturating_duration_since(peer.last_heard).as_millis() as u64,
                round_trip_us: peer.round_trip.map(|duration| duration.as_micros() as u64),
                traffic: state.traffic.get(instance).copied().unwrap_or_default(),
            };
            (instance.clone(), record)
        };
        MembershipView {
            generation: state.membership.generation,
            peers: state.membership.peers.iter().map(record).collect(),
            refused_connections: state.refused_connections,
            fault: state.fault.clone(),
        }
    }

    /// Writes the frames of a queue until the connection fails, at no more than the rate of `rate_limit`.
    pub(crate) async fn write_frames(
        &self,
        instance: &InstanceId,
        queue: OutboundReceiver,
        mut writer: FrameWriter,
        mut rate_limit: Option<MessageBucket>,
    ) -> ConnectionError {
        while let Some(frame) = queue.next().await {
            if let Some(bucket) = &mut rate_limit {
                while let Err(wait) = bucket.take(Instant::now()) {
                    compio::time::sleep(wait).await;
                }
            }
            if self.is_cut_to(instance) {
                continue;
            }
            let bytes = frame.len();
            match compio::time::timeout(self.settings.timing.dead_after, writer.send(frame)).await {
                Err(_) => return ConnectionError::Stalled,
                Ok(Err(error)) => return error,
                Ok(Ok(())) => self.count_sent(instance, bytes),
            }
        }
        ConnectionError::Closed
    }
}
