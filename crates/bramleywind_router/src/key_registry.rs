//! Looks up the idempotency key of a request, in the durable claims or at the key homes.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::{
    ClaimKeeper, CloseOutcome, KeyClaimOutcome, KeyClaimRequest, KeyFinishRequest, OpeningOutcome,
    RecordedOutcome, UnavailableClaim,
};
use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice};

use crate::{
    CallerChannel, CallerGone, KeyDecision, KeyOutcome, KeyTicket, RequestContext, RouterLink,
    RouterState, RouterStore,
};

/// How often a waiting copy asks the key homes whether the running one has ended. Short compared with an
/// answer, and at most 10 messages per second for each waiting copy.
const HOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum delay of the answer to a request that did not run, while its claim is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay for a request whose claim could not be written, in milliseconds.
const CLAIM_RETRY_AFTER_MS: u64 = 2_000;

/// Looks up and records idempotency keys. Idempotent requests use the key homes, all others the durable
/// claims.
#[derive(Debug)]
pub struct KeyRegistry {
    /// The durable claims in the store.
    pub claims: ClaimKeeper<RouterStore, RouterLink>,
}

impl KeyTicket {
    /// Returns a ticket for key homes of which some may not have answered.
    fn uncertain_homes() -> Self {
        Self::Homes { have_all_answered: false, replaces_dead: false }
    }

    /// Takes the permission to send another attempt. Returns false if the durable claim was used before: it
    /// allows only one attempt that may run, and the caller makes further attempts only if the earlier ones
    /// certainly did not run.
    pub fn try_begin_attempt(&mut self, earlier_attempts: u32) -> bool {
        match self {
            Self::Durable(ticket) if earlier_attempts == 0 => ticket.begin_send(),
            _ => true,
        }
    }
}

impl KeyRegistry {
    /// Looks up the key of a request, and waits while an earlier copy of it runs.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if the caller disconnects meanwhile.
    pub async fn begin(
        &self,
        state: &Rc<RouterState>,
        context: &RequestContext,
        idempotent: bool,
        caller: &mut CallerChannel,
    ) -> Result<KeyDecision, CallerGone> {
        match (&context.key, idempotent) {
            (None, true) => Ok(KeyDecision::Run(KeyTicket::Unkeyed)),
            (None, false) => {
                let message = "this call is not idempotent; send an `Idempotency-Key` header";
                let code = RefusalCode::KeyRequired;
                Ok(KeyDecision::Refuse(Refusal::not_run(code, message, RepeatAdvice::Never)))
            }
            (Some(key), true) => {
                let request = KeyClaimRequest {
                    key: key.clone(),
                    body_hash: context.hash,
                    holder: state.identity.instance.clone(),
                    attempt: context.id,
                };
                let claim = self.claim_at_homes(state, context, request);
                let decision = caller.run_unless_gone(claim).await;
                // A home that recorded this attempt as running must not let later copies wait for it.
                match &decision {
                    Ok(KeyDecision::Run(_)) => {}
                    Ok(KeyDecision::Replay(outcome)) => {
                        let outcome = KeyOutcome::Ran(Some(outcome.clone()));
                        self.finish(state, context, KeyTicket::uncertain_homes(), outcome);
                    }
                    Ok(KeyDecision::Refuse(_)) | Err(CallerGone) => {
                        let ticket = KeyTicket::uncertain_homes();
                        self.finish(state, context, ticket, KeyOutcome::NotRun);
                    }
                }
                decision
            }
            (Some(key), false) => {
                let open = self.claims.open(key, context.hash, context.deadline);
                Ok(claim_decision(caller.run_unless_gone(open).await?))
            }
        }
    }

    async fn claim_at_homes(
        &self,
        state: &RouterState,
        context: &RequestContext,
        request: KeyClaimRequest,
    ) -> KeyDecision {
        loop {
            let mut is_running = false;
            let mut have_all_answered = true;
            let mut replaces_dead = false;
            for home in state.key_homes(&request.key) {
                match state.claim_at_home(&home, &request).await {
                    KeyClaimOutcome::Started { replaces_dead: replaces } => {
                        replaces_dead |= replaces
                    }
                    KeyClaimOutcome::Unreachable => have_all_answered = false,
                    KeyClaimOutcome::Running { .. } => {
                        is_running = true;
                        break;
                    }
                    KeyClaimOutcome::Done(outcome) => return KeyDecision::Replay(outcome),
                    KeyClaimOutcome::Mismatch => return KeyDecision::Refuse(key_reused_refusal()),
                }
            }
            if !is_running {
                return KeyDecision::Run(KeyTicket::Homes { have_all_answered, replaces_dead });
            }
            if Instant::now() + HOME_POLL_INTERVAL >= context.deadline {
                let message = "an earlier request with the same key is still running";
                let code = RefusalCode::InProgress;
                let refusal = Refusal::may_have_run(code, message, RepeatAdvice::SameKey);
                return KeyDecision::Refuse(refusal.after_ms(CLAIM_RETRY_AFTER_MS));
            }
            compio::time::sleep(HOME_POLL_INTERVAL).await;
        }
    }

    /// Closes the claim of a request that did not run. Returns true if the caller may be told that it did not
    /// run.
    pub async fn close_unsent(&self, ticket: &mut KeyTicket) -> bool {
        match std::mem::replace(ticket, KeyTicket::Unkeyed) {
            KeyTicket::Durable(claim) => {
                let closed = self.claims.close_not_run(claim, Instant::now() + CLOSE_TIMEOUT);
                closed.await == CloseOutcome::Stored
            }
            KeyTicket::Unkeyed => true,
            KeyTicket::Homes { have_all_answered, replaces_dead } => {
                *ticket = KeyTicket::Homes { have_all_answered, replaces_dead };
                have_all_answered
            }
        }
    }

    /// Records the outcome of a request. The homes are informed in a separate task, because nothing waits for
    /// them.
    pub fn finish(
        &self,
        state: &Rc<RouterState>,
        context: &RequestContext,
        ticket: KeyTicket,
        outcome: KeyOutcome,
    ) {
        match ticket {
            KeyTicket::Unkeyed => {}
            KeyTicket::Durable(claim) => match outcome {
                KeyOutcome::Ran(Some(outcome)) => self.claims.finish(claim, outcome),
                // The claim of a request that did not run is closed before the caller is answered.
                KeyOutcome::Ran(None) | KeyOutcome::Unknown | KeyOutcome::NotRun => {
                    self.claims.finish_unknown(claim);
                }
            },
            KeyTicket::Homes { .. } => {
                let Some(key) = context.key.clone() else { return };
                let outcome: Option<RecordedOutcome> = match outcome {
                    KeyOutcome::Ran(outcome) => outcome,
                    KeyOutcome::NotRun | KeyOutcome::Unknown => None,
                };
                let request = KeyFinishRequest { key, attempt: context.id, outcome };
                let state = state.clone();
                let report = async move {
                    for home in state.key_homes(&request.key) {
                        // If a home does not answer, a repeat may run again. That is allowed, since requests
                        // with key homes are idempotent.
                        let _ = state.finish_at_home(&home, &request).await;
                    }
                };
                compio::runtime::spawn(report).detach();
            }
        }
    }
}

fn claim_decision(outcome: OpeningOutcome) -> KeyDecision {
    let refusal = match outcome {
        OpeningOutcome::Opened(ticket) => return KeyDecision::Run(KeyTicket::Durable(ticket)),
        OpeningOutcome::Recorded(outcome) => return KeyDecision::Replay(outcome),
        OpeningOutcome::Running(_) => Refusal::may_have_run(
            RefusalCode::InProgress,
            "an earlier request with the same key is still running",
            RepeatAdvice::SameKey,
        )
        .after_ms(CLAIM_RETRY_AFTER_MS),
        OpeningOutcome::OutcomeUnknown => Refusal::may_have_run(
            RefusalCode::OutcomeUnknown,
            "an earlier request with the same key may have run; check with the service before a new call",
            RepeatAdvice::Never,
        ),
        OpeningOutcome::Mismatch => key_reused_refusal(),
        OpeningOutcome::NotRun => Refusal::not_run(
            RefusalCode::ClaimUnavailable,
            "another request with the same key was given up in the meantime; repeat this one",
            RepeatAdvice::SameKey,
        )
        .after_ms(0),
        OpeningOutcome::Unavailable(UnavailableClaim::Unresolved) => Refusal::may_have_run(
            RefusalCode::ClaimUnavailable,
            "the store did not confirm the claim of this request; an earlier one may have run",
            RepeatAdvice::SameKey,
        )
        .after_ms(CLAIM_RETRY_AFTER_MS),
        // This copy is never sent, but an earlier one may have run on a router that this one cannot ask.
        OpeningOutcome::Unavailable(reason) => Refusal::may_have_run(
            RefusalCode::ClaimUnavailable,
            format!(
                "the store could not be asked whether an earlier request with the same key ran \
                 ({reason:?}); this one did not run and will not"
            ),
            RepeatAdvice::SameKey,
        )
        .after_ms(CLAIM_RETRY_AFTER_MS),
    };
    KeyDecision::Refuse(refusal)
}

fn key_reused_refusal() -> Refusal {
    let message = "the key was already used with a different request; use a new key";
    Refusal::not_run(RefusalCode::KeyReused, message, RepeatAdvice::Never)
}
