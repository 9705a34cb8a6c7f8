//! How the gateway names a witness of its spending, and answers those that named it.

use std::{cell::RefCell, time::Instant};

use bramleywind_types::IncarnationId;
use slog::info;

use super::{Gateway, StopPhase};
use crate::{
    platform_api::Platform,
    witness::{
        HolderLink, SpendCeilings, WitnessClaim, WitnessRecord, WitnessRegistry, WitnessReply,
        WitnessRequest,
    },
};

impl<P: Platform> Gateway<P> {
    /// Returns what is known of the own presence record and its witness.
    pub fn holder_link(&self) -> &RefCell<HolderLink> {
        &self.holder_link
    }

    /// Returns the ceilings that this process knows as a witness.
    pub fn witness_registry(&self) -> &RefCell<WitnessRegistry> {
        &self.witness_registry
    }

    /// Answers a holder of grants that named this process as its witness, or the successor of one.
    pub fn answer_witness_request(&self, request: &WitnessRequest) -> WitnessReply {
        let is_own = request.witness == self.members.borrow().own().incarnation;
        let is_stopping = self.stop_phase() != StopPhase::Running;
        let is_begin = matches!(request.claim, WitnessClaim::Begin(_));
        if !is_own || is_begin && is_stopping {
            return WitnessReply::Refused;
        }
        let reply = self.witness_registry.borrow_mut().answer(request, Instant::now());
        if request.claim == WitnessClaim::Ended {
            info!(self.log, "ceilings closed: the holder has ended"; "holder" => %request.holder,
                "instance" => %request.instance, "is_known" => reply != WitnessReply::Refused);
        }
        reply
    }

    /// Asks the witness of the instance's earlier process for its ceilings. Returns `None` if that witness has ended too.
    ///
    /// # Errors
    ///
    /// Returns the reason why the witness did not answer.
    pub async fn ceilings_of_ended(
        &self,
        witness: &WitnessRecord,
        holder: IncarnationId,
    ) -> Result<Option<SpendCeilings>, Box<str>> {
        let request = WitnessRequest {
            witness: witness.incarnation,
            instance: self.settings.instance.clone(),
            holder,
            claim: WitnessClaim::Ended,
        };
        match self.funds.loan_client().ask_witness(witness.peer_address, &request).await? {
            WitnessReply::Closed(ceilings) => Ok(Some(ceilings)),
            WitnessReply::Confirmed | WitnessReply::Refused => Ok(None),
        }
    }

    /// Raises the ceilings that are too low for waiting and expected requests, or only shows the witness that this process is alive.
    pub async fn raise_ceilings(&self, wanted: SpendCeilings) {
        let Some(witnesses) = self.holder_link.borrow().confirming() else { return };
        let mut is_confirmed = true;
        for witness in &witnesses {
            is_confirmed &= self.confirm(witness, WitnessClaim::Raise(wanted.clone())).await;
        }
        // Another process may have returned the tokens meanwhile, or another witness may have been asked.
        if self.holder_link.borrow().confirming().as_ref() != Some(&witnesses) {
            return;
        }
        self.holder_link.borrow_mut().record_answer(is_confirmed);
        if is_confirmed {
            let mut ledger = self.funds.ledger().borrow_mut();
            ledger.raise_ceilings(&wanted);
            ledger.resolve_waiting(Instant::now());
        } else if self.holder_link.borrow().needs_witness() {
            // A full channel means that a wake-up is already pending.
            let _ = self.presence_wake.0.try_send(());
        }
    }

    /// Chooses a witness that knows all ceilings of this process. Returns `None` if no gateway confirms them.
    pub async fn choose_witness(&self) -> Option<WitnessRecord> {
        let named = self.holder_link.borrow().witness().cloned();
        // The named one has confirmed the ceilings already.
        if named.is_some() && !self.holder_link.borrow().needs_witness() {
            return named;
        }
        // No ceiling may be raised at the earlier witness alone while another one is asked.
        self.holder_link.borrow_mut().begin_choice();
        let witness = self.ask_candidates().await;
        self.holder_link.borrow_mut().end_choice();
        witness
    }

    async fn ask_candidates(&self) -> Option<WitnessRecord> {
        let ceilings = self.funds.ledger().borrow_mut().begin_witness(Instant::now());
        let candidates = {
            let (members, registry) = (self.members.borrow(), self.witness_registry.borrow());
            members.witness_candidates(registry.witnessed_instances())
        };
        for candidate in candidates {
            if self.confirm(&candidate, WitnessClaim::Begin(ceilings.clone())).await {
                info!(self.log, "witness chosen"; "witness" => %candidate.instance,
                    "incarnation" => %candidate.incarnation, "budgets" => ceilings.len());
                return Some(candidate);
            }
        }
        None
    }

    /// Sends a claim to a witness, and returns whether it confirms it.
    async fn confirm(&self, witness: &WitnessRecord, claim: WitnessClaim) -> bool {
        let request = WitnessRequest {
            witness: witness.incarnation,
            instance: self.settings.instance.clone(),
            holder: self.members.borrow().own().incarnation,
            claim,
        };
        match self.funds.loan_client().ask_witness(witness.peer_address, &request).await {
            Ok(WitnessReply::Confirmed) => true,
            outcome => {
                // Further failures in a row are repeated several times a second, and say no more.
                if !self.holder_link.borrow().has_failed() {
                    info!(self.log, "ceilings not confirmed"; "witness" => %witness.instance,
                        "incarnation" => %witness.incarnation, "error" => outcome.err().as_deref());
                }
                false
            }
        }
    }

    /// Waits until the witness has to be replaced.
    pub async fn wait_for_witness_loss(&self) {
        // The channel is never closed, since this process holds both of its ends.
        let _ = self.presence_wake.1.recv().await;
    }
}
