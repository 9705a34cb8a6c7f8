use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::AnswerBody;
use bramleywind_types::{EndpointId, TokenCount};
use bytes::Bytes;
use compio::time::timeout;
use http::{Response, response};

use super::{
    CallFailure, FailureKind, Refusal, RefusalReason, RequestContext, RequestOutcome, RequestTrace,
    ScannedEvents,
    body_reader::{BodyReadOutcome, read_body},
    exchange::{Exchange, exchange},
    retry_rule::{AttemptCounts, RetryRule},
    stream_relay::StreamRelay,
    stream_source::StreamSource,
};
use crate::{
    endpoints::Endpoint,
    funds::Reservation,
    gateway::Gateway,
    platform_api::{EventId, Platform, WireCodec},
};

/// The largest answer of a plain service, in bytes. Answers are held until they are whole, so that a broken one can be
/// asked for again.
const MOST_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// How long an endpoint may take, in multiples of the route's target, before an idempotent request is sent to
/// another one.
const PATIENCE_FACTOR: u32 = 2;

/// The shortest time after which a request that found no room should come back.
const RETURN_DELAY: Duration = Duration::from_millis(300);

/// Sends one request to endpoints until one answers or no other may be tried.
#[derive(Debug, Default)]
pub(super) struct RequestForwarder {
    counts: AttemptCounts,
    tried: Vec<EndpointId>,
}

/// An answer that was read to its end.
struct WholeAnswer {
    head: response::Parts,
    body: Bytes,
}

/// What one call brought.
enum CallEnd {
    Whole(WholeAnswer),
    Stream(Box<StreamSource>, ScannedEvents),
}

impl RequestForwarder {
    /// Serves a request: the answer of an endpoint, or a refusal.
    pub(super) async fn serve<P: Platform>(
        mut self,
        gateway: Rc<Gateway<P>>,
        context: RequestContext,
        mut trace: RequestTrace,
        mut reservation: Option<Reservation>,
    ) -> Response<AnswerBody> {
        let mut failed_answer = None;
        let mut last_failure = None;
        loop {
            let Some(endpoint) = gateway.choose_endpoint(&context, &self.tried) else { break };
            trace.placement.get_or_insert_with(|| describe_load(&endpoint, Instant::now()));
            expose_prompt(&mut reservation, &context);
            let (kind, failure) = match self.call::<P>(&context, &mut trace, &endpoint, None).await
            {
                Ok(CallEnd::Stream(source, first)) => {
                    let (source, last_id) = (*source, None);
                    charge_prompt(&mut reservation, &context);
                    let attempts = self;
                    return StreamRelay {
                        gateway,
                        context,
                        trace,
                        reservation,
                        attempts,
                        source,
                        last_id,
                    }
                    .into_response(first);
                }
                Ok(CallEnd::Whole(answer)) if !answer.head.status.is_server_error() => {
                    charge_all(&mut reservation);
                    return finish::<P>(answer, trace);
                }
                Ok(CallEnd::Whole(answer)) => {
                    let reason = format!("answered with {}", answer.head.status);
                    failed_answer = Some(answer);
                    (FailureKind::MayHaveRun, CallFailure::new(FailureKind::MayHaveRun, reason))
                }
                Err(failure) => {
                    note_failure(&endpoint, failure.kind, Instant::now());
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
            let may_repeat = self.may_repeat(&gateway, &context, kind);
            trace.log_failure(&failure, may_repeat);
            last_failure = Some(kind);
            if !may_repeat {
                break;
            }
        }
        if let Some(answer) = failed_answer {
            return finish::<P>(answer, trace);
        }
        let refusal = self.refusal(last_failure);
        trace.refuse::<P::Wire>(refusal)
    }

    /// One call, up to the whole answer or the first events of a stream.
    async fn call<P: Platform>(
        &mut self,
        context: &RequestContext,
        trace: &mut RequestTrace,
        endpoint: &Rc<Endpoint>,
        resume_after: Option<EventId>,
    ) -> Result<CallEnd, CallFailure> {
        let patience = self.begin_call(context, trace, endpoint);
        let result = async {
            let resume_after = resume_after.or(context.resume_after);
            let exchange = exchange::<P::Wire>(context, endpoint, resume_after, patience).await?;
            if context.route.kind.is_stream() && exchange.head.status.is_success() {
                let mut source = StreamSource::new(exchange);
                let first = source.next_events(patience).await?;
                return Ok(CallEnd::Stream(Box::new(source), first.unwrap_or_default()));
            }
            collect(exchange, patience).await.map(CallEnd::Whole)
        }
        .await;
        let ran = match &result {
            Ok(_) => true,
            Err(failure) => !failure.kind.is_not_run(),
        };
        self.counts.runs += u32::from(ran);
        result
    }

    /// Notes a call to an endpoint. Returns until when it may take.
    fn begin_call(
        &mut self,
        context: &RequestContext,
        trace: &mut RequestTrace,
        endpoint: &Endpoint,
    ) -> Instant {
        self.counts.calls += 1;
        self.tried.push(endpoint.record().id.clone());
        trace.endpoints.push(endpoint.record().id.clone());
        self.patience(context)
    }

    /// Until when one call may take.
    fn patience(&self, context: &RequestContext) -> Instant {
        let is_last = self.counts.runs + 1 >= context.route.attempt_limit;
        if !context.route.kind.is_repeatable() || is_last {
            return context.deadline;
        }
        let patience = Instant::now() + context.route.target_latency * PATIENCE_FACTOR;
        patience.min(context.deadline)
    }

    /// Whether the request may run at one more endpoint.
    pub(super) fn has_runs_left(&self, context: &RequestContext) -> bool {
        self.counts.runs < context.route.attempt_limit
    }

    fn may_repeat<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        context: &RequestContext,
        failure: FailureKind,
    ) -> bool {
        let now = Instant::now();
        let route = &context.route;
        let rule = RetryRule::decide(
            route.kind,
            failure,
            self.counts,
            route.attempt_limit,
            context.deadline,
            now,
        );
        match rule {
            RetryRule::Never => false,
            RetryRule::Free => true,
            RetryRule::Budgeted => gateway.try_retry(&context.service, now),
        }
    }

    /// Goes on with a stream at another endpoint, after the last event that was passed on.
    pub(super) async fn resume<P: Platform>(
        &mut self,
        gateway: &Rc<Gateway<P>>,
        context: &RequestContext,
        trace: &mut RequestTrace,
        mut failure: CallFailure,
        resume_after: Option<EventId>,
    ) -> Result<StreamSource, CallFailure> {
        loop {
            if !self.may_repeat(gateway, context, failure.kind) {
                return Err(failure);
            }
            trace.log_failure(&failure, true);
            let Some(endpoint) = gateway.choose_endpoint(context, &self.tried) else {
                return Err(failure);
            };
            let patience = self.begin_call(context, trace, &endpoint);
            failure = match exchange::<P::Wire>(context, &endpoint, resume_after, patience).await {
                Ok(exchange) if exchange.head.status.is_success() => {
                    self.counts.runs += 1;
                    return Ok(StreamSource::new(exchange));
                }
                Ok(exchange) => {
                    let reason = format!("answered with {}", exchange.head.status);
                    CallFailure::new(FailureKind::MayHaveRun, reason)
                }
                Err(failure) => {
                    note_failure(&endpoint, failure.kind, Instant::now());
                    failure
                }
            };
            self.counts.runs += u32::from(!failure.kind.is_not_run());
        }
    }

    fn refusal(&self, last_failure: Option<FailureKind>) -> Refusal {
        match last_failure {
            None => Refusal::after(RefusalReason::NoEndpoint, RETURN_DELAY),
            Some(_) if self.counts.runs == 0 => {
                Refusal::after(RefusalReason::NotPlaced, RETURN_DELAY)
            }
            Some(FailureKind::TimedOut) => Refusal::new(RefusalReason::TimedOut),
            Some(_) => Refusal::new(RefusalReason::MayHaveRun),
        }
    }
}

/// Avoids an endpoint that failed. One that declines is well, and only full.
fn note_failure(endpoint: &Endpoint, kind: FailureKind, now: Instant) {
    let mut health = endpoint.health().borrow_mut();
    match kind {
        FailureKind::Declined => {}
        FailureKind::Replaced => health.record_replaced(now),
        FailureKind::NotSent | FailureKind::MayHaveRun | FailureKind::TimedOut => {
            health.record_failure(now);
        }
    }
}

/// What was known of an endpoint when it was chosen, for the log.
fn describe_load(endpoint: &Endpoint, now: Instant) -> Box<str> {
    let pace = endpoint.pace_ms().unwrap_or_default();
    let (in_flight, backlog) = (endpoint.in_flight(), endpoint.backlog_tokens());
    let report = endpoint.load().map_or_else(String::new, |(load, at)| {
        let age = now.saturating_duration_since(at).as_millis();
        format!(" reported={} report_age_ms={age}", load.accepted())
    });
    format!("pace_ms={pace:.0} in_flight={in_flight} backlog_tokens={backlog}{report}").into()
}

/// Until an endpoint answers, it may have begun to read the prompt.
fn expose_prompt(reservation: &mut Option<Reservation>, context: &RequestContext) {
    if let (Some(reservation), Some(prompt)) = (reservation, &context.prompt) {
        reservation.expose(prompt.prompt_tokens);
    }
}

fn charge_prompt(reservation: &mut Option<Reservation>, context: &RequestContext) {
    if let (Some(reservation), Some(prompt)) = (reservation, &context.prompt) {
        reservation.charge(prompt.prompt_tokens);
    }
}

/// An answer that is no stream does not tell how many tokens it holds.
fn charge_all(reservation: &mut Option<Reservation>) {
    if let Some(reservation) = reservation {
        reservation.charge(TokenCount(u64::MAX));
    }
}

async fn collect(mut exchange: Exchange, patience: Instant) -> Result<WholeAnswer, CallFailure> {
    let failed = |reason: &dyn std::fmt::Display| CallFailure::new(FailureKind::MayHaveRun, reason);
    let left = patience.saturating_duration_since(Instant::now());
    let body = match timeout(left, read_body(&mut exchange.body, MOST_ANSWER_BYTES)).await {
        Ok(BodyReadOutcome::Whole(body)) => body,
        Ok(BodyReadOutcome::TooLarge) => return Err(failed(&"the answer is larger than 4 MiB")),
        Ok(BodyReadOutcome::Broken(error)) => return Err(failed(&error)),
        Err(_) => {
            return Err(CallFailure::new(FailureKind::TimedOut, "the answer did not end in time"));
        }
    };
    let head = exchange.head.clone();
    if head.status.is_success() {
        exchange.work.note_answer(Instant::now());
    }
    exchange.recycle();
    Ok(WholeAnswer { head, body })
}

fn finish<P: Platform>(answer: WholeAnswer, mut trace: RequestTrace) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = P::Wire::answer_headers(&answer.head);
    trace.status = Some(answer.head.status.as_u16());
    trace.note_first_piece();
    trace.outcome = RequestOutcome::Answered;
    response
}
