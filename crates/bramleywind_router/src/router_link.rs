use std::{cell::OnceCell, rc::Rc};

use bramleywind_claims::{ClaimHolder, ClaimLink, ClaimQuery, ClaimStatus};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalLink, JournalSnapshot, LoanOutcome, LoanRequest,
    LoanSettlement, SealOutcome, SettlementOutcome, WitnessId,
};
use bramleywind_peer::PeerClient;
use bramleywind_types::{IncarnationId, InstanceId};

/// The link from the token ledger and the claims to the peer client.
///
/// The peer client needs the run ID that the token ledger chooses, and the ledger needs a link to the peers. So
/// the link is created first, and every peer is unreachable until [`connect`](Self::connect) is called.
#[derive(Debug, Clone, Default)]
pub struct RouterLink(Rc<OnceCell<PeerClient>>);

impl RouterLink {
    /// Sets the peer client. Calls after the first have no effect.
    pub fn connect(&self, client: PeerClient) {
        let _ = self.0.set(client);
    }

    /// Returns the peer client, or `None` before the link is connected.
    pub fn client(&self) -> Option<&PeerClient> {
        self.0.get()
    }
}

impl JournalLink for RouterLink {
    async fn append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        match self.client() {
            Some(client) => client.append(witness, batch).await,
            None => AppendOutcome::Unreachable,
        }
    }

    async fn snapshot(&self, witness: &WitnessId, snapshot: &JournalSnapshot) -> AppendOutcome {
        match self.client() {
            Some(client) => client.snapshot(witness, snapshot).await,
            None => AppendOutcome::Unreachable,
        }
    }

    async fn seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        match self.client() {
            Some(client) => client.seal(witness, incarnation).await,
            None => SealOutcome::Unreachable,
        }
    }

    async fn borrow(&self, lender: &InstanceId, request: &LoanRequest) -> LoanOutcome {
        match self.client() {
            Some(client) => client.borrow(lender, request).await,
            None => LoanOutcome::Unreachable,
        }
    }

    async fn settle_loan(
        &self,
        lender: &InstanceId,
        settlement: &LoanSettlement,
    ) -> SettlementOutcome {
        match self.client() {
            Some(client) => client.settle_loan(lender, settlement).await,
            None => SettlementOutcome::Unreachable,
        }
    }
}

impl ClaimLink for RouterLink {
    async fn query(&self, holder: &ClaimHolder, query: &ClaimQuery) -> ClaimStatus {
        match self.client() {
            Some(client) => client.query(holder, query).await,
            None => ClaimStatus::Unknown,
        }
    }
}
