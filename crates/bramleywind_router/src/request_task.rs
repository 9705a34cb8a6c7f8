//! Processes one request from its key to its bill, in the order of section 9 of the design.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::{CrashVerdict, RecordedOutcome, RequestFingerprint};
use bramleywind_http::ResponseBody;
use bramleywind_ledger::{Reservation, ReserveOutcome};
use bramleywind_routing::RouteRequest;
use bramleywind_types::{EndpointId, Refusal, RefusalCode, RepeatAdvice, RunState, TokenCount};
use compio::time::timeout;
use http::{HeaderValue, Response, StatusCode, header};
use slog::{info, warn};

use crate::{
    AdmissionRequest, AnswerEnding, AttemptFailure, AttemptOutcome, AttemptRunner, AttemptTarget,
    BillDecision, BillInput, BilledRepeat, CallerChannel, CallerGone, EndpointSlot, FailedCall,
    KeyDecision, KeyOutcome, KeyTicket, RequestContext, RequestOutcome, RetryDecision, RetryInput,
    RouteTarget, RouterState, RunningGuard, decide_bill, decide_retry, failure_refusal,
    funds_refusal, insert_request_id, refusal_event, refusal_response,
};

/// Divisor of a request's total time that gives its time in the queue: one half, so that the other half is
/// left to run.
const QUEUE_TIME_DIVISOR: u32 = 2;

/// How long a request waits for its reservation. Long enough for a slow store to answer a few calls. A
/// refusal after this time reports that nothing ran.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with everything that its processing needs.
#[derive(Debug)]
pub struct RequestTask<R> {
    /// The state of the router.
    pub state: Rc<RouterState>,
    /// Keeps the router from stopping while the request runs.
    pub running: RunningGuard,
    /// The properties of the request.
    pub context: RequestContext,
    /// The model or service to call.
    pub target: RouteTarget,
    /// The properties of the request that the placement policy uses.
    pub route: RouteRequest,
    /// Whether the request may run again after a failure.
    pub idempotent: bool,
    /// The number of tokens to reserve, which is the maximum cost of the request.
    pub reserved: TokenCount,
    /// Runs the attempts.
    pub runner: R,
    /// Sends the response to the caller.
    pub caller: CallerChannel,
}

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum TaskOutcome {
    Complete,
    CallerGone,
    Refused(Refusal),
}

impl From<CallerGone> for TaskOutcome {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

impl From<Refusal> for TaskOutcome {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// The results of a request's attempts so far.
#[derive(Debug)]
pub(crate) struct AttemptHistory {
    pub(crate) excluded: BTreeSet<EndpointId>,
    attempts: u32,
    /// Whether every failed attempt certainly did not run the request.
    never_ran: bool,
    last_failure: Option<AttemptFailure>,
}

impl AttemptHistory {
    /// Converts a refusal to queue the next attempt to the refusal of the whole request.
    pub(crate) fn refusal(&self, refusal: Refusal, idempotent: bool) -> Refusal {
        match self.last_failure {
            None => refusal,
            // All endpoints were tried, so the reason is how the last one failed.
            Some(failure) if refusal.code == RefusalCode::NoEndpoint => {
                failure_refusal(failure, self.never_ran, idempotent)
            }
            Some(_) if self.never_ran => refusal,
            Some(_) => Refusal { ran: RunState::MayHaveRun, ..refusal },
        }
    }
}

impl<R: AttemptRunner> RequestTask<R> {
    /// Runs the request to its end: answers the caller, settles the bill and records the outcome.
    pub async fn run(mut self) {
        let state = self.state.clone();
        let decision =
            state.key_registry.begin(&state, &self.context, self.idempotent, &mut self.caller);
        let mut ticket = match decision.await {
            Ok(KeyDecision::Run(ticket)) => ticket,
            Ok(KeyDecision::Replay(outcome)) => {
                // A caller that is gone by now can repeat the request.
                let _ = self.caller.finish(replay_response(&outcome, &self.context));
                return self.record_outcome(RequestOutcome::Replayed, None);
            }
            Ok(KeyDecision::Refuse(refusal)) => {
                self.refuse(&refusal).await;
                return self.record_outcome(RequestOutcome::Refused, None);
            }
            Err(CallerGone) => return self.record_outcome(RequestOutcome::CallerGone, None),
        };
        match self.reserve().await {
            Ok(reservation) => self.run_reserved(ticket, reservation).await,
            Err(outcome) => {
                let outcome = self.close_unsent(&mut ticket, outcome).await;
                self.finish_unbilled(&outcome).await;
                state.key_registry.finish(&state, &self.context, ticket, KeyOutcome::NotRun);
            }
        }
    }

    async fn run_reserved(mut self, mut ticket: KeyTicket, reservation: Reservation) {
        let state = self.state.clone();
        let mut history = AttemptHistory {
            excluded: BTreeSet::new(),
            attempts: 0,
            never_ran: true,
            last_failure: None,
        };
        let mut outcome = self.run_attempts(&mut ticket, &mut history).await;
        let ending = match &outcome {
            TaskOutcome::Complete => AnswerEnding::Complete,
            TaskOutcome::CallerGone => AnswerEnding::CallerGone,
            TaskOutcome::Refused(_) => AnswerEnding::EndpointFailed,
        };
        let bill = decide_bill(&BillInput {
            prompt_estimate: self.runner.prompt_estimate(),
            delivered: self.runner.delivered(),
            reserved: self.reserved,
            reported: self.runner.reported(),
            ending,
            accepted: self.runner.accepted(),
        });
        state.ledger.settle(reservation, bill.billed);
        if let (KeyTicket::Homes { replaces_dead: true, .. }, Some(key)) =
            (&ticket, &self.context.key)
        {
            let repeat = BilledRepeat { budget: self.context.budget.clone(), key: key.clone() };
            state.repeat_tracker.borrow_mut().record(repeat, Instant::now());
        }
        state.metrics.tokens_billed.inc_by(bill.billed.0);
        self.record_excess(&bill);
        if let (TaskOutcome::Complete, Some(response)) =
            (&outcome, self.runner.buffered_response(&self.context, &bill))
        {
            // The answer is billed even if the caller disconnects now, because it is recorded for a repeat.
            let _ = self.caller.finish(response);
        }
        if history.never_ran && !matches!(outcome, TaskOutcome::Complete) && !self.runner.accepted()
        {
            outcome = self.close_unsent(&mut ticket, outcome).await;
        }
        let key_outcome = match &outcome {
            TaskOutcome::Complete => KeyOutcome::Ran(self.runner.recorded_outcome()),
            TaskOutcome::Refused(refusal) if refusal.ran == RunState::NotRun => KeyOutcome::NotRun,
            TaskOutcome::CallerGone | TaskOutcome::Refused(_) => KeyOutcome::Unknown,
        };
        match &outcome {
            TaskOutcome::Complete => self.record_outcome(RequestOutcome::Complete, Some(&bill)),
            TaskOutcome::CallerGone => self.record_outcome(RequestOutcome::CallerGone, Some(&bill)),
            TaskOutcome::Refused(refusal) => {
                self.refuse(refusal).await;
                self.record_outcome(RequestOutcome::Refused, Some(&bill));
            }
        }
        state.key_registry.finish(&state, &self.context, ticket, key_outcome);
    }

    /// Reserves the tokens of the request.
    async fn reserve(&mut self) -> Result<Reservation, TaskOutcome> {
        let context = &self.context;
        let reserve = self.state.ledger.reserve(
            &context.budget,
            self.reserved,
            context.key.as_ref(),
            context.deadline.min(Instant::now() + RESERVE_TIMEOUT),
        );
        // The reservation is awaited even if the caller disconnects: a reservation that is never settled
        // stays counted as spent.
        match reserve.await {
            ReserveOutcome::Reserved(reservation) => Ok(reservation),
            ReserveOutcome::Exhausted => Err(funds_refusal(None, context).into()),
            ReserveOutcome::Unavailable(cause) => Err(funds_refusal(Some(cause), context).into()),
        }
    }

    async fn run_attempts(
        &mut self,
        ticket: &mut KeyTicket,
        history: &mut AttemptHistory,
    ) -> TaskOutcome {
        self.state.retry_budget.borrow_mut().record_request(Instant::now());
        loop {
            let slot = match self.acquire_slot(history).await {
                Ok(slot) => slot,
                Err(outcome) => return outcome,
            };
            let Some(target) = self.attempt_target(&slot) else {
                // The configuration changed after the endpoint was chosen, so choose again.
                history.excluded.insert(slot.endpoint.clone());
                continue;
            };
            if !ticket.try_begin_attempt(history.attempts) {
                let message = "the claim of this request was already used by an attempt";
                let code = RefusalCode::OutcomeUnknown;
                return Refusal::may_have_run(code, message, RepeatAdvice::Never).into();
            }
            history.attempts += 1;
            if history.attempts > 1 {
                self.state.metrics.retries.inc();
                if self.runner.delivered() > TokenCount(0) {
                    self.state.metrics.resumes.inc();
                }
            }
            let state = self.state.clone();
            let outcome =
                self.runner.attempt(&state, &self.context, &target, &mut self.caller).await;
            drop(slot);
            self.free_isolated_endpoint(&target.endpoint);
            match outcome {
                AttemptOutcome::Complete => return TaskOutcome::Complete,
                AttemptOutcome::CallerGone => return TaskOutcome::CallerGone,
                AttemptOutcome::Rejected(refusal) => return refusal.into(),
                AttemptOutcome::Failed(failed) => {
                    self.record_failure(&target, &failed);
                    history.never_ran &= failed.failure.is_certainly_not_run();
                    history.last_failure = Some(failed.failure);
                    history.excluded.insert(target.endpoint.clone());
                    if let Some(refusal) = self.refusal_after_failure(&failed, history) {
                        self.free_isolated_endpoint(&target.endpoint);
                        return refusal.into();
                    }
                }
            }
        }
    }

    /// Waits for a slot at an endpoint.
    async fn acquire_slot(
        &mut self,
        history: &AttemptHistory,
    ) -> Result<EndpointSlot, TaskOutcome> {
        let now = Instant::now();
        let fingerprint = self.fingerprint();
        let mut excluded = history.excluded.clone();
        let verdict = self.state.crash_tracker.borrow().verdict(&fingerprint, now);
        match verdict {
            CrashVerdict::Clear => {}
            CrashVerdict::Refused => return Err(crash_refusal().into()),
            CrashVerdict::Isolated => {
                let endpoint = self.await_isolated_endpoint(&fingerprint, history).await?;
                let routes = self.state.current_routes()?;
                excluded.extend(routes.endpoints.keys().filter(|id| **id != endpoint).cloned());
            }
        }
        let total = self.context.deadline.saturating_duration_since(self.context.arrived);
        let deadline = self.context.arrived + total / QUEUE_TIME_DIVISOR;
        let request = AdmissionRequest {
            workspace: self.context.workspace.clone(),
            target: self.target.clone(),
            route: self.route.clone(),
            cost: self.reserved.0,
            excluded,
            deadline,
        };
        let admission = self.state.admission.clone();
        let receiver = admission
            .request(request)
            .map_err(|refusal| history.refusal(refusal, self.idempotent))?;
        // A request that is tried again may have used up its queue time, so it gets at least a short wait.
        let wait = deadline.saturating_duration_since(now).max(self.state.limits.connect_time);
        match self.caller.run_unless_gone(timeout(wait, receiver)).await? {
            Ok(Ok(Ok(slot))) => {
                let report = self.state.crash_tracker.borrow_mut().record_retry(
                    &fingerprint,
                    &slot.endpoint,
                    now,
                );
                self.state.share_crash_reports(report.into_iter().collect());
                Ok(slot)
            }
            Ok(Ok(Err(refusal))) => Err(history.refusal(refusal, self.idempotent).into()),
            Ok(Err(_)) | Err(_) => {
                Err(history.refusal(admission.overload_refusal(), self.idempotent).into())
            }
        }
    }

    fn attempt_target(&self, slot: &EndpointSlot) -> Option<AttemptTarget> {
        let routes = self.state.current_routes().ok()?;
        let config = routes.endpoints.get(&slot.endpoint)?;
        Some(AttemptTarget { endpoint: slot.endpoint.clone(), address: config.address })
    }

    /// Updates the health of the endpoint after a failed attempt and, if it crashed, records a crash report for the
    /// request.
    fn record_failure(&self, target: &AttemptTarget, failed: &FailedCall) {
        let now = Instant::now();
        let log = self.log();
        warn!(log, "attempt failed"; "endpoint" => %target.endpoint, "failure" => ?failed.failure);
        self.state.admission.update_health(|health| {
            if failed.is_leaving {
                health.record_announcement(&target.endpoint, now);
            }
            match failed.failure {
                AttemptFailure::Declined => health.record_declined(&target.endpoint, now),
                AttemptFailure::NotConnected | AttemptFailure::Broken => {
                    health.record_down(&target.endpoint, now);
                }
                AttemptFailure::ServerError | AttemptFailure::TimedOut => {}
            }
        });
        if failed.failure.is_crash() {
            let in_flight = [self.fingerprint()];
            let reports = self.state.crash_tracker.borrow_mut().record_crash(
                &target.endpoint,
                &in_flight,
                now,
            );
            self.state.share_crash_reports(reports);
        }
    }

    /// Returns the refusal that ends the request after a failed attempt, or `None` if it is retried.
    fn refusal_after_failure(
        &self,
        failed: &FailedCall,
        history: &AttemptHistory,
    ) -> Option<Refusal> {
        let now = Instant::now();
        if self.state.crash_tracker.borrow().verdict(&self.fingerprint(), now)
            == CrashVerdict::Refused
        {
            return Some(crash_refusal());
        }
        let input = RetryInput {
            failure: failed.failure,
            never_ran: history.never_ran,
            idempotent: self.idempotent,
            attempts: history.attempts,
            deadline: self.context.deadline,
            now,
        };
        match decide_retry(&input) {
            RetryDecision::GiveUp(refusal) => Some(refusal),
            RetryDecision::Retry if self.state.retry_budget.borrow_mut().try_retry(now) => None,
            RetryDecision::Retry => {
                Some(failure_refusal(failed.failure, history.never_ran, self.idempotent))
            }
        }
    }

    /// Closes the durable claim of a request that did not run. If the closure is not confirmed, the refusal
    /// is changed to `may_have_run`, since only a closed claim allows the answer `not_run` (guarantee G4).
    async fn close_unsent(&self, ticket: &mut KeyTicket, outcome: TaskOutcome) -> TaskOutcome {
        if self.state.key_registry.close_unsent(ticket).await {
            return outcome;
        }
        match outcome {
            TaskOutcome::Refused(refusal) => TaskOutcome::Refused(Refusal {
                ran: RunState::MayHaveRun,
                repeat: RepeatAdvice::SameKey,
                ..refusal
            }),
            other => other,
        }
    }

    async fn finish_unbilled(&mut self, outcome: &TaskOutcome) {
        match outcome {
            TaskOutcome::Refused(refusal) => {
                self.refuse(refusal).await;
                self.record_outcome(RequestOutcome::Refused, None);
            }
            TaskOutcome::CallerGone | TaskOutcome::Complete => {
                self.record_outcome(RequestOutcome::CallerGone, None);
            }
        }
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        let code = self.state.metrics.record_refusal(refusal);
        info!(self.log(), "request refused"; "code" => code, "ran" => ?refusal.ran,
            "message" => &*refusal.message);
        if self.caller.is_waiting() {
            // Sending fails if the caller is gone already.
            let _ = self.caller.finish(refusal_response(refusal, self.context.id));
        } else {
            let _ = self.caller.send(refusal_event(refusal)).await;
            self.caller.end_stream();
        }
    }

    fn record_excess(&self, bill: &BillDecision) {
        if bill.excess > TokenCount(0) {
            self.state.metrics.tokens_excess.inc_by(bill.excess.0);
            warn!(self.log(), "usage beyond the reservation is not billed"; "tokens" => bill.excess.0);
        }
    }

    fn record_outcome(&self, outcome: RequestOutcome, bill: Option<&BillDecision>) {
        let elapsed = self.context.arrived.elapsed();
        self.state.metrics.record_request(outcome);
        if outcome == RequestOutcome::Complete {
            self.state.metrics.whole_answer.observe(elapsed.as_secs_f64());
        }
        info!(self.log(), "request ended"; "outcome" => outcome.name(),
            "billed" => bill.map_or(0, |bill| bill.billed.0),
            "delivered" => self.runner.delivered().0,
            "elapsed_ms" => elapsed.as_millis() as u64);
    }

    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let workspace = self.context.workspace.clone();
        RequestFingerprint { workspace, body_hash: self.context.hash }
    }

    fn log(&self) -> slog::Logger {
        let context = &self.context;
        self.state.log.new(slog::o!("request" => context.id.to_string(),
            "workspace" => context.workspace.to_string()))
    }
}

fn crash_refusal() -> Refusal {
    let message = "endpoints crashed while running this request; do not repeat it";
    Refusal::may_have_run(RefusalCode::CrashSuspect, message, RepeatAdvice::Never)
}

fn replay_response(outcome: &RecordedOutcome, context: &RequestContext) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(bytes::Bytes::from(outcome.body.clone())));
    *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let content_type = outcome.content_type.as_deref().map(HeaderValue::try_from);
    if let Some(Ok(content_type)) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    insert_request_id(response.headers_mut(), context.id);
    response
}
