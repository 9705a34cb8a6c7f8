use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{BodyMemory, ResponseBody};
use bramleywind_types::{EndpointId, TokenCount};
use bytes::Bytes;
use compio::time::timeout;
use futures_util::future::{Either, select};
use http::{Response, response};

use super::{
    CallFailure, FailureKind, Refusal, RefusalReason, RequestContext, RequestOutcome, RequestTrace,
    ScannedEvents,
    body_reader::{BodyReadOutcome, read_body},
    exchange::{Exchange, send_request},
    request_handler::refuse_if_stopping,
    retry_decision::{AttemptCounts, RetryDecision},
    stream_relay::StreamRelay,
    stream_source::StreamSource,
};
use crate::{
    crashes::{ProbeOutcome, RunProgress, UnconfirmedCrash, probe_endpoint},
    endpoints::Endpoint,
    funds::Reservation,
    gateway::Gateway,
    platform_api::{EventId, Platform, WireCodec},
    rate_limits::ServiceClosure,
    registry::ListGate,
};

/// Maximum size of a buffered response of a plain service, in bytes. Responses are buffered until they are complete, so
/// that the request can be sent again if one breaks off.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Time that an endpoint has for a repeatable request, in multiples of the route's target latency, before the
/// request is sent to another endpoint.
const CALL_TIMEOUT_FACTOR: u32 = 2;

/// Shortest delay after which the caller should retry a request that no endpoint accepted.
const NO_CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Forwarder of one request, which calls endpoints until one answers or no further call is allowed.
#[derive(Debug, Default)]
pub(super) struct RequestForwarder {
    counts: AttemptCounts,
    tried: Vec<EndpointId>,
}

/// A response that was read to its end.
struct BufferedResponse {
    head: response::Parts,
    body: Bytes,
}

/// The successful outcome of one call to an endpoint.
enum CallOutcome {
    Whole(BufferedResponse),
    Stream(Box<StreamSource>, ScannedEvents),
}

impl RequestForwarder {
    /// Forwards a request, and returns the response of an endpoint or a refusal.
    pub(super) async fn serve<P: Platform>(
        mut self,
        gateway: Rc<Gateway<P>>,
        context: RequestContext,
        mut trace: RequestTrace,
        mut reservation: Option<Reservation>,
    ) -> Response<ResponseBody> {
        let mut failed_answer = None;
        let mut last_failure = None;
        loop {
            // Other requests may have crashed endpoints while this one waited.
            if crash_refusal(&gateway, &context).is_some() {
                break;
            }
            let Some(endpoint) = gateway.choose_permitted(&context, &self.tried).await else {
                break;
            };
            // The wait for funds and permits may have taken a while.
            if self.counts.runs == 0
                && let Err(refusal) = refuse_if_stopping(&gateway)
            {
                return trace.refuse::<P::Wire>(refusal);
            }
            trace.placement.get_or_insert_with(|| describe_load(&endpoint, Instant::now()));
            expose_prompt(&mut reservation, &context);
            let result = self.call_until_stop(&gateway, &context, &mut trace, &endpoint).await;
            let (kind, failure) = match result {
                Ok(CallOutcome::Stream(source, first)) => {
                    let (source, last_id) = (*source, None);
                    charge_prompt(&mut reservation, &context);
                    let forwarder = self;
                    return StreamRelay {
                        gateway,
                        context,
                        trace,
                        reservation,
                        forwarder,
                        source,
                        last_id,
                    }
                    .into_response(first);
                }
                Ok(CallOutcome::Whole(answer)) if !answer.head.status.is_server_error() => {
                    gateway.record_answer(&context.fingerprint);
                    gateway.record_part_proof(&context.shared_parts, Instant::now());
                    charge_all(&mut reservation);
                    return finish::<P>(answer, trace);
                }
                Ok(CallOutcome::Whole(answer)) => {
                    let reason = format!("answered with {}", answer.head.status);
                    failed_answer = Some(answer);
                    (FailureKind::MayHaveRun, CallFailure::new(FailureKind::MayHaveRun, reason))
                }
                Err(mut failure) => {
                    update_health(&endpoint, failure.kind, Instant::now());
                    let progress = RunProgress::Unanswered;
                    examine_endpoint(&gateway, &context, &endpoint, progress, &mut failure).await;
                    (failure.kind, failure)
                }
            };
            if !kind.is_not_run() {
                charge_prompt(&mut reservation, &context);
            }
            if let Some(reservation) = &mut reservation {
                reservation.expose(TokenCount(0));
                trace.tokens = Some((reservation.limit().0, reservation.used().0));
            }
            let is_retried = self.allow_retry(&gateway, &context, kind);
            trace.log_failure(&failure, is_retried);
            last_failure = Some(kind);
            if !is_retried {
                break;
            }
        }
        if let Some(answer) = failed_answer {
            return finish::<P>(answer, trace);
        }
        let refusal = match crash_refusal(&gateway, &context) {
            Some(refusal) if self.counts.runs == 0 => refusal,
            _ => {
                let is_list_old = gateway.list_gate(Instant::now()) != ListGate::Open;
                self.refusal(last_failure, gateway.service_closure(&context), is_list_old)
            }
        };
        trace.refuse::<P::Wire>(refusal)
    }

    /// Makes one call, and waits for its outcome until the process no longer waits for answers.
    async fn call_until_stop<P: Platform>(
        &mut self,
        gateway: &Gateway<P>,
        context: &RequestContext,
        trace: &mut RequestTrace,
        endpoint: &Rc<Endpoint>,
    ) -> Result<CallOutcome, CallFailure> {
        {
            let call = pin!(self.call(gateway, context, trace, endpoint));
            let stop = pin!(gateway.wait_for_end_of_answers());
            if let Either::Left((result, _)) = select(call, stop).await {
                return result;
            }
        }
        self.counts.runs += 1;
        Err(CallFailure::new(FailureKind::MayHaveRun, "no answer before the gateway stops"))
    }

    /// Makes one call and waits for the complete response or the first events of a stream.
    async fn call<P: Platform>(
        &mut self,
        gateway: &Gateway<P>,
        context: &RequestContext,
        trace: &mut RequestTrace,
        endpoint: &Rc<Endpoint>,
    ) -> Result<CallOutcome, CallFailure> {
        let call_deadline = self.begin_call(context, trace, endpoint);
        let result = async {
            let resume_after = context.resume_after;
            let exchange =
                send_request(gateway, context, trace, endpoint, resume_after, call_deadline)
                    .await?;
            if context.route.kind.is_stream() && exchange.head.status.is_success() {
                let mut source = StreamSource::new(exchange, context);
                let first = match source.next_events(call_deadline).await? {
                    Some(first) => first,
                    None if source.exchange().is_delimited() => ScannedEvents::default(),
                    // Only the caller of a resumed stream may have all its events already.
                    None if context.resume_after.is_some() => {
                        confirm_end(gateway, context, endpoint, source.progress()).await?;
                        ScannedEvents::default()
                    }
                    None => {
                        let reason = "stream ended before its first event";
                        return Err(CallFailure::new(FailureKind::ConnectionLost, reason));
                    }
                };
                return Ok(CallOutcome::Stream(Box::new(source), first));
            }
            let is_delimited = exchange.is_delimited();
            let memory = gateway.body_memory();
            let answer = collect_response(exchange, memory, call_deadline).await?;
            if !is_delimited {
                confirm_end(gateway, context, endpoint, RunProgress::Unanswered).await?;
            }
            Ok(CallOutcome::Whole(answer))
        }
        .await;
        let ran = match &result {
            Ok(_) => true,
            Err(failure) => !failure.kind.is_not_run(),
        };
        self.counts.runs += u32::from(ran);
        result
    }

    /// Records a call to an endpoint and returns the deadline of the call.
    fn begin_call(
        &mut self,
        context: &RequestContext,
        trace: &mut RequestTrace,
        endpoint: &Endpoint,
    ) -> Instant {
        self.counts.calls += 1;
        self.tried.push(endpoint.record().id.clone());
        trace.record_choice(endpoint.record().id.clone());
        self.call_deadline(context)
    }

    /// Returns the deadline of the current call. It is earlier than the request's if another endpoint may be tried
    /// after it.
    fn call_deadline(&self, context: &RequestContext) -> Instant {
        let is_last = self.counts.runs + 1 >= context.route.attempt_limit;
        if !context.route.kind.is_repeatable() || is_last {
            return context.deadline;
        }
        let call_deadline = Instant::now() + context.route.target_latency * CALL_TIMEOUT_FACTOR;
        call_deadline.min(context.deadline)
    }

    /// Returns whether the request may run at one more endpoint.
    pub(super) fn has_attempts_left(&self, context: &RequestContext) -> bool {
        self.counts.runs < context.route.attempt_limit
    }

    /// Returns whether a failed request may be sent again, and if so takes a retry from the service's budget where
    /// needed.
    fn allow_retry<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        context: &RequestContext,
        failure: FailureKind,
    ) -> bool {
        let now = Instant::now();
        if crash_refusal(gateway, context).is_some() {
            return false;
        }
        let route = &context.route;
        let decision = RetryDecision::decide(
            route.kind,
            failure,
            self.counts,
            route.attempt_limit,
            context.deadline,
            now,
        );
        if !self.fits_before_stop(gateway, context, now) {
            return false;
        }
        match decision {
            RetryDecision::Never => false,
            RetryDecision::Free => true,
            RetryDecision::Budgeted => gateway.try_retry(&context.service, now),
        }
    }

    /// Returns whether one more call can end before the process does. A request that has not run is better sent through another
    /// gateway than by one that refuses new requests.
    fn fits_before_stop<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        context: &RequestContext,
        now: Instant,
    ) -> bool {
        let needed = context.route.target_latency * CALL_TIMEOUT_FACTOR;
        let is_in_time = gateway.last_answer_at().is_none_or(|last_at| now + needed <= last_at);
        is_in_time && (self.counts.runs > 0 || refuse_if_stopping(gateway).is_ok())
    }

    /// Resumes a stream at another endpoint after the last event that was relayed.
    pub(super) async fn resume<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        context: &RequestContext,
        trace: &mut RequestTrace,
        mut failure: CallFailure,
        resume_after: Option<EventId>,
    ) -> Result<StreamSource, CallFailure> {
        loop {
            if !self.allow_retry(gateway, context, failure.kind) {
                return Err(failure);
            }
            trace.log_failure(&failure, true);
            let Some(endpoint) = gateway.choose_permitted(context, &self.tried).await else {
                return Err(failure);
            };
            let call_deadline = self.begin_call(context, trace, &endpoint);
            let sent =
                send_request(gateway, context, trace, &endpoint, resume_after, call_deadline);
            failure = match sent.await {
                Ok(exchange) if exchange.head.status.is_success() => {
                    self.counts.runs += 1;
                    return Ok(StreamSource::new(exchange, context));
                }
                Ok(exchange) => {
                    let reason = format!("answered with {}", exchange.head.status);
                    CallFailure::new(FailureKind::MayHaveRun, reason)
                }
                Err(mut failure) => {
                    update_health(&endpoint, failure.kind, Instant::now());
                    let progress = RunProgress::Unanswered;
                    examine_endpoint(gateway, context, &endpoint, progress, &mut failure).await;
                    failure
                }
            };
            self.counts.runs += u32::from(!failure.kind.is_not_run());
        }
    }

    /// Returns the refusal for a request that got no response: `last_failure` is that of its last call, if there was
    /// one. `closure` tells when its caller may return if it did not run, `is_list_old` whether the list of endpoints is too old to
    /// place requests.
    fn refusal(
        &self,
        last_failure: Option<FailureKind>,
        closure: Option<ServiceClosure>,
        is_list_old: bool,
    ) -> Refusal {
        let delay = closure.map_or(Duration::ZERO, |closure| closure.return_delay);
        let delay = delay.max(NO_CAPACITY_RETRY_DELAY);
        let is_limited = closure.is_some_and(|closure| closure.is_limited);
        match last_failure {
            None if is_list_old => Refusal::after(RefusalReason::ListOutdated, delay),
            None if is_limited => Refusal::after(RefusalReason::EndpointsLimited, delay),
            None => Refusal::after(RefusalReason::NoEndpoint, delay),
            Some(_) if self.counts.runs == 0 => Refusal::after(RefusalReason::NotPlaced, delay),
            Some(FailureKind::TimedOut) => Refusal::new(RefusalReason::TimedOut),
            Some(_) => Refusal::new(RefusalReason::MayHaveRun),
        }
    }
}

/// Checks that an endpoint lives after an answer that ended with its connection. The end of the endpoint would look the
/// same.
pub(super) async fn confirm_end<P: Platform>(
    gateway: &Gateway<P>,
    context: &RequestContext,
    endpoint: &Rc<Endpoint>,
    progress: RunProgress,
) -> Result<(), CallFailure> {
    let lost_at = Instant::now();
    let outcome = probe_endpoint(endpoint, lost_at).await;
    if outcome == ProbeOutcome::Alive {
        return Ok(());
    }
    let reason = "answer without a length ended, and its endpoint may have ended too";
    let mut failure = CallFailure::new(FailureKind::ConnectionLost, reason);
    failure.probe = Some(outcome);
    record_lost_connection(gateway, context, endpoint, progress, outcome, lost_at);
    Err(failure)
}

/// Finds out whether an endpoint has ended, after a call that lost its connection, and records that it ended under this
/// request.
pub(super) async fn examine_endpoint<P: Platform>(
    gateway: &Gateway<P>,
    context: &RequestContext,
    endpoint: &Rc<Endpoint>,
    progress: RunProgress,
    failure: &mut CallFailure,
) {
    if failure.kind == FailureKind::Replaced {
        gateway.confirm_crashes(&endpoint.record().id);
    }
    if failure.kind != FailureKind::ConnectionLost || failure.probe.is_some() {
        return;
    }
    let lost_at = Instant::now();
    let outcome = probe_endpoint(endpoint, lost_at).await;
    failure.probe = Some(outcome);
    record_lost_connection(gateway, context, endpoint, progress, outcome, lost_at);
}

/// Records that a connection was lost at `lost_at`, and whether its endpoint is known to have ended.
fn record_lost_connection<P: Platform>(
    gateway: &Gateway<P>,
    context: &RequestContext,
    endpoint: &Rc<Endpoint>,
    progress: RunProgress,
    outcome: ProbeOutcome,
    lost_at: Instant,
) {
    // An endpoint that is leaving ends as planned.
    if !endpoint.is_open() {
        return;
    }
    let (fingerprint, shared_parts) = (&context.fingerprint, &context.shared_parts);
    if outcome == ProbeOutcome::Ended {
        gateway.record_crash(fingerprint, shared_parts, endpoint, progress, lost_at);
    } else {
        gateway.record_unconfirmed_crash(UnconfirmedCrash {
            endpoint: Rc::clone(endpoint),
            fingerprint: fingerprint.clone(),
            shared_parts: shared_parts.clone(),
            progress,
            lost_at,
        });
    }
}

fn crash_refusal<P: Platform>(gateway: &Gateway<P>, context: &RequestContext) -> Option<Refusal> {
    gateway.crash_refusal(&context.fingerprint, &context.shared_parts)
}

/// Records a failed call in the endpoint's health. An endpoint that declines is healthy and merely full.
pub(super) fn update_health(endpoint: &Endpoint, kind: FailureKind, now: Instant) {
    let mut health = endpoint.health().borrow_mut();
    match kind {
        FailureKind::Declined | FailureKind::Left => {}
        FailureKind::Replaced => health.record_replaced(now),
        FailureKind::NotSent
        | FailureKind::ConnectionLost
        | FailureKind::MayHaveRun
        | FailureKind::TimedOut => {
            health.record_failure(now);
        }
    }
}

/// Formats the load of an endpoint at the time of its choice, for the log.
fn describe_load(endpoint: &Endpoint, now: Instant) -> Box<str> {
    let pace = endpoint.pace_ms().unwrap_or_default();
    let (in_flight, backlog) = (endpoint.in_flight(), endpoint.backlog_tokens());
    let report = endpoint.load().map_or_else(String::new, |(load, at)| {
        let age = now.saturating_duration_since(at).as_millis();
        format!(" reported={} report_age_ms={age}", load.accepted())
    });
    format!("pace_ms={pace:.0} in_flight={in_flight} backlog_tokens={backlog}{report}").into()
}

/// Marks the prompt's tokens as possibly used, since the endpoint may start to prefill the prompt before it answers.
fn expose_prompt(reservation: &mut Option<Reservation>, context: &RequestContext) {
    if let (Some(reservation), Some(prompt)) = (reservation, &context.prompt) {
        reservation.expose(prompt.prompt_tokens);
    }
}

/// Charges the prompt's tokens.
fn charge_prompt(reservation: &mut Option<Reservation>, context: &RequestContext) {
    if let (Some(reservation), Some(prompt)) = (reservation, &context.prompt) {
        reservation.charge(prompt.prompt_tokens);
    }
}

/// Charges all reserved tokens, because a response that is not a stream does not tell how many tokens it holds.
fn charge_all(reservation: &mut Option<Reservation>) {
    if let Some(reservation) = reservation {
        reservation.charge(TokenCount(u64::MAX));
    }
}

/// Reads the complete body of a response.
async fn collect_response(
    mut exchange: Exchange,
    memory: &BodyMemory,
    call_deadline: Instant,
) -> Result<BufferedResponse, CallFailure> {
    let left = call_deadline.saturating_duration_since(Instant::now());
    let reading = read_body(&mut exchange.body, MAX_RESPONSE_BYTES, memory);
    let body = match timeout(left, reading).await {
        Ok(BodyReadOutcome::Whole(body)) => body,
        Ok(BodyReadOutcome::NoMemory) => {
            let reason = "response is larger than the memory that other bodies leave";
            return Err(CallFailure::new(FailureKind::MayHaveRun, reason));
        }
        Ok(BodyReadOutcome::TooLarge) => {
            let reason = "response is larger than 4 MiB";
            return Err(CallFailure::new(FailureKind::MayHaveRun, reason));
        }
        Ok(BodyReadOutcome::Broken(error)) => {
            return Err(CallFailure::new(FailureKind::ConnectionLost, error));
        }
        Err(_) => {
            return Err(CallFailure::new(FailureKind::TimedOut, "response did not end in time"));
        }
    };
    let head = exchange.head.clone();
    if head.status.is_success() {
        exchange.guard.record_first_answer(Instant::now());
    }
    exchange.recycle();
    Ok(BufferedResponse { head, body })
}

/// Builds the response to the caller from a complete response of an endpoint.
fn finish<P: Platform>(
    answer: BufferedResponse,
    mut trace: RequestTrace,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = P::Wire::answer_headers(&answer.head);
    trace.status = Some(answer.head.status.as_u16());
    trace.record_first_piece();
    trace.outcome = RequestOutcome::Answered;
    response
}
