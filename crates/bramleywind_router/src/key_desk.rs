//! What a request's key allows, by the durable claims or the key homes.

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
    CallerGone, CallerChannel, KeyOutcome, KeyDecision, KeyTicket, RequestContext, RouterLink, RouterState,
    RouterStore,
};

/// How often a copy asks the key homes whether the running one has ended. Short beside an answer, and at
/// most 10 messages a second for each waiting copy.
const HOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the answer to a request that did not run is held back for the closure of its claim.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// When to repeat a request whose claim could not be written, in milliseconds.
const CLAIM_RETRY_AFTER_MS: u64 = 2_000;

/// The two registries of keys.
#[derive(Debug)]
pub struct KeyRegistry {
    /// The durable claims.
    pub claims: ClaimKeeper<RouterStore, RouterLink>,
}

impl KeyTicket {
    /// Homes that may not all have answered.
    fn uncertain_homes() -> Self {
        Self::Homes { have_all_answered: false, replaces_dead: false }
    }

    /// Whether an attempt may be sent. A durable claim allows one that may run; further attempts follow only
    /// where the earlier ones certainly did not.
    pub fn try_begin_attempt(&mut self, earlier_attempts: u32) -> bool {
        match self {
            Self::Durable(ticket) if earlier_attempts == 0 => ticket.begin_send(),
            _ => true,
        }
    }
}

impl KeyRegistry {
    /// Looks up the key of a request, and waits while an earlier copy runs.
    ///
    /// # Errors
    ///
    /// If the caller goes away meanwhile.
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
                let message = "this call may not run twice; send an `Idempotency-Key` header";
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
                let begin = self.claim_at_homes(state, context, request);
                let start = caller.run_unless_gone(begin).await;
                // A home that noted this attempt as running must not let others wait for it.
                match &start {
                    Ok(KeyDecision::Run(_)) => {}
                    Ok(KeyDecision::Replay(outcome)) => {
                        let end = KeyOutcome::Ran(Some(outcome.clone()));
                        self.finish(state, context, KeyTicket::uncertain_homes(), end);
                    }
                    Ok(KeyDecision::Refuse(_)) | Err(CallerGone) => {
                        let ticket = KeyTicket::uncertain_homes();
                        self.finish(state, context, ticket, KeyOutcome::NotRun);
                    }
                }
                start
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
                let message = "an earlier copy under the same key is still running";
                let code = RefusalCode::InProgress;
                let refusal = Refusal::may_have_run(code, message, RepeatAdvice::SameKey);
                return KeyDecision::Refuse(refusal.after_ms(CLAIM_RETRY_AFTER_MS));
            }
            compio::time::sleep(HOME_POLL_INTERVAL).await;
        }
    }

    /// Closes the claim of a request that did not run. Returns whether the caller may be told so.
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

    /// Records how a request ended. The homes are told in a task of its own, because nobody waits for them.
    pub fn finish(
        &self,
        state: &Rc<RouterState>,
        context: &RequestContext,
        ticket: KeyTicket,
        end: KeyOutcome,
    ) {
        match ticket {
            KeyTicket::Unkeyed => {}
            KeyTicket::Durable(claim) => match end {
                KeyOutcome::Ran(Some(outcome)) => self.claims.finish(claim, outcome),
                // A claim of a request that did not run is closed before its caller is answered.
                KeyOutcome::Ran(None) | KeyOutcome::Unknown | KeyOutcome::NotRun => {
                    self.claims.finish_unknown(claim);
                }
            },
            KeyTicket::Homes { .. } => {
                let Some(key) = context.key.clone() else { return };
                let outcome: Option<RecordedOutcome> = match end {
                    KeyOutcome::Ran(outcome) => outcome,
                    KeyOutcome::NotRun | KeyOutcome::Unknown => None,
                };
                let request = KeyFinishRequest { key, attempt: context.id, outcome };
                let state = state.clone();
                let report = async move {
                    for home in state.key_homes(&request.key) {
                        // A home that does not answer lets a repeat run, which is allowed.
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
            "an earlier copy under the same key is still running",
            RepeatAdvice::SameKey,
        )
        .after_ms(CLAIM_RETRY_AFTER_MS),
        OpeningOutcome::OutcomeUnknown => Refusal::may_have_run(
            RefusalCode::OutcomeUnknown,
            "an earlier copy under the same key may have run; ask the service before another order",
            RepeatAdvice::Never,
        ),
        OpeningOutcome::Mismatch => key_reused_refusal(),
        OpeningOutcome::NotRun => Refusal::not_run(
            RefusalCode::ClaimUnavailable,
            "another copy under the same key was given up meanwhile",
            RepeatAdvice::SameKey,
        )
        .after_ms(0),
        OpeningOutcome::Unavailable(UnavailableClaim::Unresolved) => Refusal::may_have_run(
            RefusalCode::ClaimUnavailable,
            "the store did not confirm the claim of this call; an earlier copy may have run",
            RepeatAdvice::SameKey,
        )
        .after_ms(CLAIM_RETRY_AFTER_MS),
        // This copy is never sent, but an earlier one may have run through a router that this one cannot ask.
        OpeningOutcome::Unavailable(reason) => Refusal::may_have_run(
            RefusalCode::ClaimUnavailable,
            format!(
                "the store could not be asked whether an earlier copy ran ({reason:?}); this copy did not \
                 run and will not"
            ),
            RepeatAdvice::SameKey,
        )
        .after_ms(CLAIM_RETRY_AFTER_MS),
    };
    KeyDecision::Refuse(refusal)
}

fn key_reused_refusal() -> Refusal {
    let message = "the key was used before with a different request; use a new key";
    Refusal::not_run(RefusalCode::KeyReused, message, RepeatAdvice::Never)
}
