//! The messages of a connection, and the requests and replies that they carry.

use std::net::SocketAddr;

use bramleywind_claims::{
    ClaimQuery, ClaimStatus, CrashReport, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome,
    KeyFinishRequest,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement,
    SealOutcome, SettlementOutcome,
};
use bramleywind_macros::domain_type;
use bramleywind_types::{ConfigRevision, IncarnationId};

use super::handshake::{Nonce, PeerIdentity, Proof, RefusalReason};
use crate::Heartbeat;

/// A message sent by the dialer.
#[domain_type]
pub enum DialerMessage {
    /// The first message. Its encoding up to and including the version never changes.
    Hello {
        /// The protocol version of the dialer.
        version: u32,
        /// The identity of the dialer.
        identity: PeerIdentity,
        /// A fresh random number.
        nonce: Nonce,
    },
    /// The dialer's proof of the fleet secret.
    Proof(Proof),
    /// A request.
    Request(RequestEnvelope),
}

/// A message sent by the acceptor.
#[domain_type]
pub enum AcceptorMessage {
    /// The reply to a hello.
    Challenge {
        /// The identity of the acceptor.
        identity: PeerIdentity,
        /// A fresh random number.
        nonce: Nonce,
        /// The acceptor's proof of the fleet secret.
        proof: Proof,
    },
    /// The proof was valid; requests may follow.
    Welcome,
    /// The connection is refused and about to be closed.
    Refused(RefusalReason),
    /// The reply to a request.
    Reply(ReplyEnvelope),
}

/// A request with its correlation number and timeout.
#[domain_type]
pub struct RequestEnvelope {
    /// Chosen by the dialer and repeated in the reply. No reply is sent if it is 0.
    pub correlation: u64,
    /// How long the dialer waits for the reply, in milliseconds.
    pub timeout_ms: u32,
    /// The request.
    pub request: PeerRequest,
}

/// A reply with the correlation number of its request.
#[domain_type]
pub struct ReplyEnvelope {
    /// The correlation number of the request.
    pub correlation: u64,
    /// The reply.
    pub reply: PeerReply,
}

/// A request to another router.
#[domain_type]
pub enum PeerRequest {
    /// Shows that the sender is alive.
    Heartbeat {
        /// The heartbeat of the sender.
        heartbeat: Heartbeat,
        /// The addresses on which the peers that the sender considers live accept peers. Absent if they are
        /// unchanged since the last heartbeat that was acknowledged.
        known: Option<Vec<SocketAddr>>,
    },
    /// Requests the configuration in force.
    ConfigFetch,
    /// Appends entries to the copy of the sender's journal.
    JournalAppend {
        /// The process run that the request is meant for.
        run: IncarnationId,
        /// The entries.
        batch: JournalBatch,
    },
    /// Replaces the copy of the sender's journal.
    JournalSnapshot {
        /// The process run that the request is meant for.
        run: IncarnationId,
        /// The journal.
        snapshot: JournalSnapshot,
    },
    /// Seals an incarnation.
    Seal {
        /// The process run that the request is meant for.
        run: IncarnationId,
        /// The incarnation to be sealed.
        incarnation: IncarnationId,
    },
    /// Requests a loan.
    Borrow(LoanRequest),
    /// Settles a loan.
    LoanSettle(LoanSettlement),
    /// Announces that an idempotent request starts.
    KeyClaim(KeyClaimRequest),
    /// Announces that an idempotent request has ended.
    KeyFinish(KeyFinishRequest),
    /// Queries the status of a claim.
    ClaimQuery(ClaimQuery),
    /// Reports a request that was in flight on an endpoint that crashed.
    Strike(CrashReport),
}

/// A reply to a [`PeerRequest`].
#[domain_type]
pub enum PeerReply {
    /// Acknowledges `Heartbeat` and `Strike`.
    Noted,
    /// Reply to `ConfigFetch`: the configuration, if one is in force.
    Config(Option<ConfigCopy>),
    /// Reply to `JournalAppend` and `JournalSnapshot`.
    Append(AppendOutcome),
    /// Reply to `Seal`.
    Seal(SealOutcome),
    /// Reply to `Borrow`.
    Loan(LoanOutcome),
    /// Reply to `LoanSettle`.
    Settlement(SettlementOutcome),
    /// Reply to `KeyClaim`.
    KeyClaim(KeyClaimOutcome),
    /// Reply to `KeyFinish`.
    KeyFinish(KeyFinishOutcome),
    /// Reply to `ClaimQuery`.
    Claim(ClaimStatus),
}

/// A copy of the signed configuration. The receiver checks the signature.
#[domain_type]
pub struct ConfigCopy {
    /// The revision that the sender found in the document.
    pub revision: ConfigRevision,
    /// The signed document as the operators applied it.
    pub document: Vec<u8>,
}
