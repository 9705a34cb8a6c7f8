//! The messages after the handshake.

use std::net::SocketAddr;

use bramleywind_claims::{
    ClaimQuery, ClaimStatus, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome, KeyFinishRequest,
    StrikeReport,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement,
    SealOutcome, SettlementOutcome,
};
use bramleywind_macros::domain_type;
use bramleywind_types::{ConfigRevision, IncarnationId};

use super::handshake::{Nonce, PeerIdentity, Proof, RefusalReason};
use crate::Heartbeat;

/// A message from the end that dialed.
#[domain_type]
pub enum DialerMessage {
    /// The first message. Its shape up to the version never changes.
    Hello {
        /// The version that the dialer speaks.
        version: u32,
        /// Who dials.
        identity: PeerIdentity,
        /// A fresh random number.
        nonce: Nonce,
    },
    /// The dialer's proof of the fleet secret.
    Proof(Proof),
    /// A request.
    Request(RequestEnvelope),
}

/// A message from the end that accepted the connection.
#[domain_type]
pub enum AcceptorMessage {
    /// The answer to a hello.
    Challenge {
        /// Who accepted.
        identity: PeerIdentity,
        /// A fresh random number.
        nonce: Nonce,
        /// The acceptor's proof of the fleet secret.
        proof: Proof,
    },
    /// The proof was right: requests may follow.
    Welcome,
    /// The connection is refused and about to be closed.
    Refused(RefusalReason),
    /// The reply to a request.
    Reply(ReplyEnvelope),
}

/// A request with what is needed to answer it.
#[domain_type]
pub struct RequestEnvelope {
    /// Chosen by the dialer; the reply carries it.
    pub correlation: u64,
    /// How long the dialer waits for the reply, in milliseconds.
    pub timeout_ms: u32,
    /// The request.
    pub request: PeerRequest,
}

/// A reply with the correlation number of its request.
#[domain_type]
pub struct ReplyEnvelope {
    /// The number of the request.
    pub correlation: u64,
    /// The reply.
    pub reply: PeerReply,
}

/// A request to another router.
#[domain_type]
pub enum PeerRequest {
    /// The sender is alive.
    Heartbeat {
        /// What it says about itself.
        heartbeat: Heartbeat,
        /// Where the peers that it knows accept peers; only when this has changed since it last told.
        known: Option<Vec<SocketAddr>>,
    },
    /// Asks for the configuration in force.
    ConfigFetch,
    /// Adds entries to the copy of the sender's journal.
    JournalAppend {
        /// The process run that is meant.
        run: IncarnationId,
        /// The entries.
        batch: JournalBatch,
    },
    /// Replaces the copy of the sender's journal.
    JournalSnapshot {
        /// The process run that is meant.
        run: IncarnationId,
        /// The journal.
        snapshot: JournalSnapshot,
    },
    /// Seals an incarnation.
    Seal {
        /// The process run that is meant.
        run: IncarnationId,
        /// The incarnation to be sealed.
        incarnation: IncarnationId,
    },
    /// Asks for a loan.
    Borrow(LoanRequest),
    /// Settles a loan.
    LoanSettle(LoanSettlement),
    /// An idempotent request begins.
    KeyClaim(KeyClaimRequest),
    /// An idempotent request has ended.
    KeyFinish(KeyFinishRequest),
    /// Asks what became of a claim.
    ClaimQuery(ClaimQuery),
    /// Tells of a request that was in flight on an endpoint that crashed.
    Strike(StrikeReport),
}

/// A reply to a [`PeerRequest`].
#[domain_type]
pub enum PeerReply {
    /// Taken note; to `Heartbeat` and `Strike`.
    Noted,
    /// The configuration, if one is in force; to `ConfigFetch`.
    Config(Option<ConfigCopy>),
    /// To `JournalAppend` and `JournalSnapshot`.
    Append(AppendOutcome),
    /// To `Seal`.
    Seal(SealOutcome),
    /// To `Borrow`.
    Loan(LoanOutcome),
    /// To `LoanSettle`.
    Settlement(SettlementOutcome),
    /// To `KeyClaim`.
    KeyClaim(KeyClaimOutcome),
    /// To `KeyFinish`.
    KeyFinish(KeyFinishOutcome),
    /// To `ClaimQuery`.
    Claim(ClaimStatus),
}

/// A copy of the signed configuration. The receiver checks the signature.
#[domain_type]
pub struct ConfigCopy {
    /// The revision that the sender read in the document.
    pub revision: ConfigRevision,
    /// The signed document as the operators applied it.
    pub document: Vec<u8>,
}
