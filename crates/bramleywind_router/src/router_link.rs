use std::{cell::OnceCell, rc::Rc};

use bramleywind_claims::{ClaimHolder, ClaimLink, ClaimQuery, ClaimStatus};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalLink, JournalSnapshot, LoanOutcome, LoanRequest,
    LoanSettlement, SealOutcome, SettlementOutcome, WitnessId,
};
use bramleywind_peer::PeerClient;
use bramleywind_types::{IncarnationId, InstanceId};

/// The link to other routers.
///
/// The peer connections must name the process run, which the keeper of the funds chooses, and the keeper needs
/// the link; so the link exists first and reaches nobody until it is connected.
#[derive(Debug, Clone, Default)]
pub struct RouterLink(Rc<OnceCell<PeerClient>>);

impl RouterLink {
    /// Connects the link. Only the first call counts.
    pub fn connect(&self, client: PeerClient) {
        let _ = self.0.set(client);
    }

    /// The peer connections, once there are any.
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
