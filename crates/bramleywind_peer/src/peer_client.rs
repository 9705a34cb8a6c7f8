use std::{rc::Rc, time::Duration};

use bramleywind_claims::{
    ClaimHolder, ClaimLink, ClaimQuery, ClaimStatus, KeyClaimOutcome, KeyClaimRequest,
    KeyFinishOutcome, KeyFinishRequest, StrikeReport,
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

/// For requests that a caller's request waits for. It covers a round trip between regions and a short pause of
/// the peer; a peer that takes longer is about to be suspect.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// For requests that carry whole journals or documents.
const BULK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a request got no reply.
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
    /// Too much waits to be sent to the peer; nothing was sent.
    #[snafu(display("too many messages wait to be sent to the peer"))]
    Overloaded,
    /// The request is larger than a frame; nothing was sent.
    #[snafu(display("the request is larger than a frame"))]
    TooLarge,
    /// The reply was one to another kind of request.
    #[snafu(display("the peer sent a reply of the wrong kind"))]
    WrongReply,
}

/// What a request for a peer's configuration came to.
#[domain_type]
pub enum ConfigFetchOutcome {
    /// The peer's configuration.
    Found(ConfigCopy),
    /// The peer has none.
    Missing,
    /// The peer did not answer.
    Unreachable,
}

/// Sends requests to peers and shows the membership. A clone is another handle of the same mesh.
#[derive(Debug, Clone)]
pub struct PeerClient {
    shared: Rc<MeshShared>,
}

impl PeerClient {
    pub(crate) fn new(shared: Rc<MeshShared>) -> Self {
        Self { shared }
    }

    /// The peers as they are now, also for dumps.
    pub fn view(&self) -> MembershipView {
        self.shared.view()
    }

    /// Tells when the view changes. The first call of [`ChangeListener::changed`] tells of all earlier changes.
    pub fn changes(&self) -> ChangeListener {
        ChangeListener::new(Rc::clone(&self.shared))
    }

    /// Messages and bytes to and from a peer.
    pub fn traffic(&self, peer: &InstanceId) -> PeerTraffic {
        self.shared.traffic(peer)
    }

    /// Sets or removes a fault of the network, for tests.
    pub fn set_fault(&self, fault: LinkFault) {
        self.shared.set_fault(fault);
    }

    /// Asks a peer for its configuration.
    pub async fn fetch_config(&self, peer: &InstanceId) -> ConfigFetchOutcome {
        match self.request(peer, PeerRequest::ConfigFetch, BULK_TIMEOUT).await {
            Ok(PeerReply::Config(Some(copy))) => ConfigFetchOutcome::Found(copy),
            Ok(PeerReply::Config(None)) => ConfigFetchOutcome::Missing,
            _ => ConfigFetchOutcome::Unreachable,
        }
    }

    /// Tells a key home that an idempotent request begins.
    pub async fn claim_key(&self, home: &InstanceId, request: KeyClaimRequest) -> KeyClaimOutcome {
        match self.request(home, PeerRequest::KeyClaim(request), REQUEST_TIMEOUT).await {
            Ok(PeerReply::KeyClaim(outcome)) => outcome,
            _ => KeyClaimOutcome::Unreachable,
        }
    }

    /// Tells a key home that an idempotent request has ended.
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

    /// Tells all connected peers of a strike, without waiting. Returns how many it was queued for.
    pub fn share_strike(&self, report: &StrikeReport) -> usize {
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
        // The claim's id names the run, so a restarted holder answers that it does not know.
        let request = PeerRequest::ClaimQuery(query.clone());
        match self.request(&holder.instance, request, REQUEST_TIMEOUT).await {
            Ok(PeerReply::Claim(status)) => status,
            _ => ClaimStatus::Unknown,
        }
    }
}
