//! The handshake of a connection: protocol version, identities, and mutual proof of the fleet secret.

use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId};
use hmac::{Hmac, Mac as _};
use sha2::Sha256;

use crate::FleetSecret;

/// The version of the protocol. Routers of different versions do not connect.
pub const PROTOCOL_VERSION: u32 = 1;

/// A random number that is used once, so that a proof cannot be replayed.
pub type Nonce = [u8; 32];

/// An HMAC-SHA-256 over a [`HandshakeTranscript`].
pub type Proof = [u8; 32];

/// Identity of one end of a connection.
#[domain_type]
pub struct PeerIdentity {
    /// The instance that the process runs on.
    pub instance: InstanceId,
    /// The process run.
    pub run: IncarnationId,
}

/// The end that a proof comes from. The side is part of what is proven, so that neither end can return the
/// other's proof.
#[domain_type]
#[derive(Copy)]
pub enum ProofSide {
    /// The end that accepted the connection, which proves first.
    Acceptor,
    /// The end that dialed.
    Dialer,
}

/// Everything that both ends sent before the proofs.
#[domain_type]
pub struct HandshakeTranscript {
    /// The protocol version of both ends.
    pub version: u32,
    /// The identity of the dialer.
    pub dialer: PeerIdentity,
    /// The identity of the acceptor.
    pub acceptor: PeerIdentity,
    /// The nonce of the dialer.
    pub dialer_nonce: Nonce,
    /// The nonce of the acceptor.
    pub acceptor_nonce: Nonce,
}

impl HandshakeTranscript {
    /// Computes the proof of one side.
    ///
    /// ```
    /// use bramleywind_peer::{FleetSecret, wire::*};
    /// use bramleywind_types::IncarnationId;
    ///
    /// let identity = PeerIdentity {
    ///     instance: "akl-a-1".parse().unwrap(),
    ///     run: IncarnationId::from_number(1),
    /// };
    /// let transcript = HandshakeTranscript {
    ///     version: PROTOCOL_VERSION,
    ///     dialer: identity.clone(),
    ///     acceptor: identity,
    ///     dialer_nonce: [1; 32],
    ///     acceptor_nonce: [2; 32],
    /// };
    /// let secret = FleetSecret::new(vec![7; 32]).unwrap();
    /// let proof = transcript.prove(&secret, ProofSide::Dialer);
    /// assert!(transcript.verify(&secret, ProofSide::Dialer, &proof));
    /// assert!(!transcript.verify(&secret, ProofSide::Acceptor, &proof));
    /// ```
    pub fn prove(&self, secret: &FleetSecret, side: ProofSide) -> Proof {
        self.mac(secret, side).finalize().into_bytes().into()
    }

    /// Returns whether a proof is the one of that side, compared in constant time.
    pub fn verify(&self, secret: &FleetSecret, side: ProofSide, proof: &Proof) -> bool {
        self.mac(secret, side).verify_slice(proof).is_ok()
    }

    fn mac(&self, secret: &FleetSecret, side: ProofSide) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret.bytes()).expect("HMAC takes a key of any length");
        let message = bincode::serde::encode_to_vec((side, self), bincode::config::standard())
            .expect("a transcript has only fields that bincode can encode");
        mac.update(&message);
        mac
    }
}

/// The reason why an acceptor refuses a connection.
#[domain_type]
#[derive(Copy)]
pub enum RefusalReason {
    /// The dialer speaks another protocol version; holds the acceptor's.
    Version(u32),
    /// The dialer's proof is invalid.
    Secret,
    /// A newer run of the same instance has already connected.
    RetiredRun,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(f, "it speaks protocol version {version}"),
            Self::Secret => f.write_str("the fleet secrets differ"),
            Self::RetiredRun => f.write_str("a newer run of this instance has connected"),
        }
    }
}
