use std::{rc::Rc, time::Duration};

use bramleywind_claims::{
    ClaimHolder, ClaimLink, ClaimQuery, ClaimStatus, CrashReport, KeyClaimOutcome, KeyClaimRequest,
    KeyFinishOutcome, KeyFinishRequest,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalLink, JournalSnapshot, LoanOutcome, LoanRequest,
    LoanSettlement, SealOutcome, SettlementOutcome, WitnessId,
};
use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId};
use snafu::Snafu;

use crate::{
    ChangeListener, LinkFault, MembershipView, PeerTraffic,
    mesh_shared::MeshShared,
    wire::{ConfigCopy, PeerReply, PeerRequest},
};

/// Time limit for peer requests that a caller's request waits for. It covers a round trip between regions and a
/// short pause of the peer; a peer that takes longer is about to be suspect.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for requests that carry whole journals or documents.
const BULK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Reason for which a request got no valid reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RequestFailure {
    /// There is no connection to the peer; nothing was sent.
    #[snafu(display("there is no connection to the peer"))]
    NotConnected,
    /// The connection broke; the peer may have acted on the request.
    #[snafu(display("the connection to the peer broke"))]
    Disconnected,
    /// The reply did not come in time; the peer may have acted on the request.
    #[snafu(display("the peer did not reply in time"))]
    Timeout,
    /// The queue to the peer is full; nothing was sent.
    #[snafu(display("the queue of messages to the peer is full"))]
    Overloaded,
    /// The request exceeds the frame limit; nothing was sent.
    #[snafu(display("the request exceeds the frame limit"))]
    TooLarge,
    /// The reply belongs to another kind of request.
    #[snafu(display("the peer sent a reply of the wrong kind"))]
    WrongReply,
}

/// Outcome of a request for a peer's configuration.
#[domain_type]
pub enum ConfigFetchOutcome {
    /// The peer's configuration.
    Found(ConfigCopy),
    /// The peer has no configuration.
    Missing,
    /// The peer did not answer.
    Unreachable,
}

/// Client of the mesh, which sends requests to peers and shows the membership. Clones share the same mesh.
#[derive(Debug, Clone)]
pub struct PeerClient {
    shared: Rc<MeshShared>,
}

impl PeerClient {
    pub(crate) fn new(shared: Rc<MeshShared>) -> Self {
        Self { shared }
    }

    /// Returns the current state of the peers, also for dumps.
    pub fn view(&self) -> MembershipView {
        self.shared.view()
    }

    /// Returns a listener for changes of the view. Its first call of [`ChangeListener::changed`] reports all
    /// earlier changes.
    pub fn changes(&self) -> ChangeListener {
        ChangeListener::new(Rc::clone(&self.shared))
    }

    /// Returns the counts of messages and bytes exchanged with a peer.
    pub fn traffic(&self, peer: &InstanceId) -> PeerTraffic {
        self.shared.traffic(peer)
    }

    /// Injects or removes a network fault, for tests.
    pub fn set_fault(&self, fault: LinkFault) {
        self.shared.set_fault(fault);
    }

    /// Fetches the configuration of a peer.
    pub async fn fetch_config(&self, peer: &InstanceId) -> ConfigFetchOutcome {
        match self.request(peer, PeerRequest::ConfigFetch, BULK_TIMEOUT).await {
            Ok(PeerReply::Config(Some(copy))) => ConfigFetchOutcome::Found(copy),
            Ok(PeerReply::Config(None)) => ConfigFetchOutcome::Missing,
            _ => ConfigFetchOutcome::Unreachable,
        }
    }

    /// Tells the home of a key that an idempotent request starts.
    pub async fn claim_key(&self, home: &InstanceId, request: KeyClaimRequest) -> KeyClaimOutcome {
        match self.request(home, PeerRequest::KeyClaim(request), REQUEST_TIMEOUT).await {
            Ok(PeerReply::KeyClaim(outcome)) => outcome,
            _ => KeyClaimOutcome::Unreachable,
        }
    }

    /// Tells the home of a key that an idempotent request has ended.
    pub async fn finish_key(
        &self,
        home: &InstanceId,
        request: KeyFinishRequest,
    ) -> KeyFinishOutcome {
        match self.request(home, PeerRequest::KeyFinish(request), REQUEST_TIMEOUT).await {
            Ok(PeerReply::KeyFinish(outcome)) => outcome,
            _ => KeyFinishOutcome::Unreachable,
        }
    }

    /// Queues a crash report for all connected peers, without waiting for replies. Returns the number of peers
    /// that it was queued for.
    pub fn share_crash_report(&self, report: &CrashReport) -> usize {
        let links: Vec<_> = self.shared.state.borrow().links.values().cloned().collect();
        let notify = |link: &&Rc<crate::peer_link::PeerLink>| {
            link.notify(PeerRequest::Strike(report.clone()), REQUEST_TIMEOUT).is_ok()
        };
        links.iter().filter(notify).count()
    }

    /// Sends any request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails if the peer is not connected, or does not reply in time.
    pub async fn request(
        &self,
        peer: &InstanceId,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, RequestFailure> {
        let link = self.shared.link(peer).ok_or(RequestFailure::NotConnected)?;
        link.request(request, timeout).await
    }
}

impl JournalLink for PeerClient {
    async fn append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        let request = PeerRequest::JournalAppend { run: witness.run, batch: batch.clone() };
        match self.request(&witness.instance, request, REQUEST_TIMEOUT).await {
            Ok(PeerReply::Append(outcome)) => outcome,
            _ => AppendOutcome::Unreachable,
        }
    }

    async fn snapshot(&self, witness: &WitnessId, snapshot: &JournalSnapshot) -> AppendOutcome {
        let request = PeerRequest::JournalSnapshot { run: witness.run, snapshot: snapshot.clone() };
        match self.request(&witness.instance, request, BULK_TIMEOUT).await {
            Ok(PeerReply::Append(outcome)) => outcome,
            _ => AppendOutcome::Unreachable,
        }
    }

    async fn seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        let request = PeerRequest::Seal { run: witness.run, incarnation };
        match self.request(&witness.instance, request, BULK_TIMEOUT).await {
            Ok(PeerReply::Seal(outcome)) => outcome,
            _ => SealOutcome::Unreachable,
        }
    }

    async fn borrow(&self, lender: &InstanceId, request: &LoanRequest) -> LoanOutcome {
        let request = PeerRequest::Borrow(request.clone());
        match self.request(lender, request, REQUEST_TIMEOUT).await {
            Ok(PeerReply::Loan(outcome)) => outcome,
            _ => LoanOutcome::Unreachable,
        }
    }

    async fn settle_loan(
        &self,
        lender: &InstanceId,
        settlement: &LoanSettlement,
    ) -> SettlementOutcome {
        let request = PeerRequest::LoanSettle(settlement.clone());
        match self.request(lender, request, REQUEST_TIMEOUT).await {
            Ok(PeerReply::Settlement(outcome)) => outcome,
            _ => SettlementOutcome::Unreachable,
        }
    }
}

impl ClaimLink for PeerClient {
    async fn query(&self, holder: &ClaimHolder, query: &ClaimQuery) -> ClaimStatus {
        // The id of the claim names the run, so a restarted holder replies that the claim is unknown.
        let request = PeerRequest::ClaimQuery(query.clone());
        match self.request(&holder.instance, request, REQUEST_TIMEOUT).await {
            Ok(PeerReply::Claim(status)) => status,
            _ => ClaimStatus::Unknown,
        }
    }
}
