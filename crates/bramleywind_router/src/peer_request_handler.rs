use std::{rc::Rc, time::Instant};

use bramleywind_claims::{
    ClaimQuery, ClaimStatus, CrashReport, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome,
    KeyFinishRequest,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement,
    SealOutcome, SettlementOutcome, WitnessId,
};
use bramleywind_peer::{PeerHandler, RouterStatus, wire::ConfigCopy};
use bramleywind_types::{IncarnationId, InstanceId};

use crate::{RouterState, entry_weight};

/// Handles the requests of peers with the state of this router.
#[derive(Debug)]
pub struct PeerRequestHandler {
    state: Rc<RouterState>,
    witness_id: WitnessId,
}

impl PeerRequestHandler {
    /// Creates a handler for the router with the given state.
    pub fn new(state: Rc<RouterState>) -> Self {
        let instance = state.identity.instance.clone();
        let witness_id = WitnessId { instance, run: state.ledger.run_id() };
        Self { state, witness_id }
    }
}

impl PeerHandler for PeerRequestHandler {
    fn status(&self) -> RouterStatus {
        let state = &self.state;
        RouterStatus {
            incarnation: state.ledger.incarnation(),
            caller_address: state.identity.caller_address,
            weight: entry_weight(state.identity.capacity, state.running()),
            leaving: state.drain.borrow().is_leaving(),
            revision: state.routes.borrow().as_ref().map(|routes| routes.revision),
        }
    }

    async fn config_document(&self) -> Option<ConfigCopy> {
        let signed = self.state.signed_config.borrow();
        let signed = signed.as_ref()?;
        let document = serde_json::to_vec(signed).ok()?;
        Some(ConfigCopy { revision: signed.revision, document })
    }

    async fn journal_append(&self, _from: &InstanceId, batch: JournalBatch) -> AppendOutcome {
        self.state.ledger.handle_append(&self.witness_id, &batch)
    }

    async fn journal_snapshot(
        &self,
        _from: &InstanceId,
        snapshot: JournalSnapshot,
    ) -> AppendOutcome {
        self.state.ledger.handle_snapshot(&self.witness_id, &snapshot)
    }

    async fn seal(&self, _from: &InstanceId, incarnation: IncarnationId) -> SealOutcome {
        self.state.ledger.handle_seal(&self.witness_id, incarnation)
    }

    async fn borrow(&self, _from: &InstanceId, request: LoanRequest) -> LoanOutcome {
        self.state.ledger.handle_borrow(&request).await
    }

    async fn settle_loan(
        &self,
        _from: &InstanceId,
        settlement: LoanSettlement,
    ) -> SettlementOutcome {
        self.state.ledger.handle_settle_loan(&settlement)
    }

    async fn key_claim(&self, _from: &InstanceId, request: KeyClaimRequest) -> KeyClaimOutcome {
        self.state.claim_locally(&request)
    }

    async fn key_finish(&self, _from: &InstanceId, request: KeyFinishRequest) -> KeyFinishOutcome {
        self.state.idempotency_cache.borrow_mut().finish(&request, Instant::now())
    }

    async fn claim_query(&self, _from: &InstanceId, query: ClaimQuery) -> ClaimStatus {
        self.state.key_registry.claims.answer_query(&query)
    }

    async fn crash_report(&self, _from: &InstanceId, report: CrashReport) {
        self.state.crash_tracker.borrow_mut().apply(&report, Instant::now());
    }
}
