//! Peer-to-peer connections between routers, and the membership view of which routers are alive.
//!
//! Routers keep nothing on disk and there is no ready-made clustering: what a router must know of the others
//! (who is alive, what a witness holds, the outcome of a claim) is exchanged over these connections.

mod accepted_connection;
mod change_listener;
mod connection_error;
mod dialed_connection;
mod fleet_secret;
mod heartbeat;
mod link_fault;
mod membership;
mod membership_view;
mod mesh_settings;
mod mesh_shared;
mod message_bucket;
mod outbound_queue;
mod peer_client;
mod peer_handler;
mod peer_link;
mod peer_mesh;
mod peer_state;
mod peer_traffic;
mod reconnect_delay;
pub mod wire;

pub use change_listener::ChangeListener;
pub use connection_error::ConnectionError;
pub use fleet_secret::{FleetSecret, MIN_SECRET_BYTES, SecretError};
pub use heartbeat::{Heartbeat, RouterStatus};
pub use link_fault::LinkFault;
pub use membership_view::{MembershipView, PeerRecord};
pub use mesh_settings::{MeshSettings, MeshTiming};
pub use message_bucket::MAX_MESSAGES_PER_SECOND;
pub use peer_client::{ConfigFetchOutcome, PeerClient, RequestFailure};
pub use peer_handler::PeerHandler;
pub use peer_mesh::{MeshError, PeerMesh};
pub use peer_state::PeerState;
pub use peer_traffic::PeerTraffic;
