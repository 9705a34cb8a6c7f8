use std::time::Instant;

use bramleywind_claims::{MAX_CACHED_BODY_BYTES, RecordedOutcome};
use bramleywind_http::ResponseBody;
use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice, TokenCount};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use crate::{
    AttemptFailure, AttemptOutcome, AttemptRunner, AttemptTarget, BillDecision, CallTimeouts,
    CallerChannel, CallerGone, ChatRequest, DeclineRule, EndpointAnswer, EngineEvent, EventScanner,
    ReportedUsage, RequestContext, RouterState, call_endpoint, insert_request_id, json_response,
};

/// Maximum length of the excerpt of an engine's error that is forwarded to the caller, in bytes.
const ERROR_EXCERPT_BYTES: usize = 512;

/// Runs the attempts of a chat request and collects the answer over all of them.
#[derive(Debug)]
pub struct ChatAttempts {
    request: ChatRequest,
    delivered: TokenCount,
    reported: Option<ReportedUsage>,
    /// Whether an engine accepted the request, or may have done so.
    accepted: bool,
    text: String,
    finish_reason: Option<Box<str>>,
    /// The events as sent to the caller, for replays. `None` once they are too large to record.
    events: Option<Vec<u8>>,
    buffered_body: Option<Bytes>,
}

/// The outcome of the event stream of one attempt.
enum StreamOutcome {
    Complete,
    CallerGone,
    Failed(AttemptFailure),
}

impl From<CallerGone> for StreamOutcome {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

impl ChatAttempts {
    /// Creates the runner of a request, before its first attempt.
    pub fn new(request: ChatRequest) -> Self {
        Self {
            request,
            delivered: TokenCount(0),
            reported: None,
            accepted: false,
            text: String::new(),
            finish_reason: None,
            events: Some(Vec::new()),
            buffered_body: None,
        }
    }

    fn engine_request(
        &self,
        context: &RequestContext,
        target: &AttemptTarget,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.request.engine_body(self.delivered)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static("/v1/chat/completions");
        let headers = request.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Ok(host) = HeaderValue::try_from(target.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        insert_request_id(headers, context.id);
        request
    }

    /// Forwards the events of an answer to the caller until the stream ends.
    async fn forward(
        &mut self,
        state: &RouterState,
        context: &RequestContext,
        target: &AttemptTarget,
        answer: &mut EndpointAnswer,
        caller: &mut CallerChannel,
    ) -> StreamOutcome {
        let head_received = Instant::now();
        let resumed_from = self.delivered;
        let mut scanner = EventScanner::default();
        loop {
            let idle_time = state
                .limits
                .idle_time
                .min(context.deadline.saturating_duration_since(Instant::now()));
            let chunk = match caller.run_unless_gone(answer.next_chunk(idle_time)).await {
                Err(CallerGone) => return StreamOutcome::CallerGone,
                Ok(Err(failure)) => return StreamOutcome::Failed(failure),
                // A body that ends without `[DONE]` is a truncated answer.
                Ok(Ok(None)) => return StreamOutcome::Failed(AttemptFailure::Broken),
                Ok(Ok(Some(chunk))) => chunk,
            };
            scanner.push(&chunk);
            let mut events = Vec::with_capacity(chunk.len());
            let outcome = self.read_events(&mut scanner, &mut events, resumed_from, |request| {
                record_first_token(state, context, target, head_received, request);
            });
            if let Err(gone) = self.forward_events(context, events.into(), caller).await {
                return gone.into();
            }
            match outcome {
                Some(StreamOutcome::Complete) => {
                    if self.request.stream {
                        caller.end_stream();
                    }
                    return StreamOutcome::Complete;
                }
                Some(outcome) => {
                    state.metrics.late_chunks.inc_by(u64::from(scanner.has_remainder()));
                    return outcome;
                }
                None if scanner.is_oversized() => {
                    return StreamOutcome::Failed(AttemptFailure::ServerError);
                }
                None => {}
            }
        }
    }

    /// Counts the tokens of the received events, and appends the events for the caller to `events` unchanged.
    /// Returns how the stream ended, or `None` while it continues.
    fn read_events(
        &mut self,
        scanner: &mut EventScanner,
        events: &mut Vec<u8>,
        resumed_from: TokenCount,
        on_first_token: impl Fn(&ChatRequest),
    ) -> Option<StreamOutcome> {
        while let Some(event) = scanner.next_event() {
            match EngineEvent::of(&event) {
                EngineEvent::Token { text, finish_reason } => {
                    if self.delivered == TokenCount(0) {
                        on_first_token(&self.request);
                    }
                    self.delivered = self.delivered.saturating_add(TokenCount(1));
                    self.record_finish_reason(finish_reason);
                    if !self.request.stream {
                        self.text.push_str(&text);
                    }
                }
                EngineEvent::Usage { usage, finish_reason } => {
                    // An engine that resumed an answer reports the tokens of its own part only.
                    self.reported = Some(ReportedUsage {
                        total: usage.total.saturating_add(resumed_from),
                        completion: usage
                            .completion
                            .map(|tokens| tokens.saturating_add(resumed_from)),
                    });
                    self.record_finish_reason(finish_reason);
                }
                EngineEvent::Other { finish_reason } => {
                    // The first events of a resumed answer repeat what the caller already has.
                    if resumed_from > TokenCount(0) && finish_reason.is_none() {
                        continue;
                    }
                    self.record_finish_reason(finish_reason);
                }
                EngineEvent::Empty => continue,
                EngineEvent::Done => {
                    events.extend_from_slice(&event);
                    return Some(StreamOutcome::Complete);
                }
                EngineEvent::Failed => {
                    return Some(StreamOutcome::Failed(AttemptFailure::ServerError));
                }
            }
            events.extend_from_slice(&event);
        }
        None
    }

    async fn forward_events(
        &mut self,
        context: &RequestContext,
        events: Bytes,
        caller: &mut CallerChannel,
    ) -> Result<(), CallerGone> {
        if !self.request.stream || events.is_empty() {
            return Ok(());
        }
        if caller.is_waiting() {
            caller.begin_stream(stream_head(context))?;
        }
        match &mut self.events {
            Some(kept) if kept.len() + events.len() <= MAX_CACHED_BODY_BYTES => {
                kept.extend_from_slice(&events);
            }
            kept => *kept = None,
        }
        caller.send(events).await
    }

    fn record_finish_reason(&mut self, reason: Option<Box<str>>) {
        if reason.is_some() {
            self.finish_reason = reason;
        }
    }
}

const EVENT_STREAM: &str = "text/event-stream";

fn stream_head(context: &RequestContext) -> Response<()> {
    let mut head = Response::new(());
    let headers = head.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    insert_request_id(headers, context.id);
    head
}

fn record_first_token(
    state: &RouterState,
    context: &RequestContext,
    target: &AttemptTarget,
    head_received: Instant,
    request: &ChatRequest,
) {
    state.metrics.first_token.observe(context.arrived.elapsed().as_secs_f64());
    let elapsed_ms = head_received.elapsed().as_secs_f64() * 1_000.0;
    state.admission.record_first_token(&target.endpoint, &request.route(), elapsed_ms);
}

impl AttemptRunner for ChatAttempts {
    async fn attempt(
        &mut self,
        state: &RouterState,
        context: &RequestContext,
        target: &AttemptTarget,
        caller: &mut CallerChannel,
    ) -> AttemptOutcome {
        let request = self.engine_request(context, target);
        let timeouts = CallTimeouts::until(&state.limits, context.deadline);
        let call = call_endpoint(target.address, request, timeouts, DeclineRule::BusyOrLeaving);
        let mut answer = match caller.run_unless_gone(call).await {
            Err(CallerGone) => {
                // The engine may have received the request, although it has not answered.
                self.accepted = true;
                return AttemptOutcome::CallerGone;
            }
            Ok(Err(failed)) => return AttemptOutcome::Failed(failed),
            Ok(Ok(answer)) => answer,
        };
        let status = answer.head.status;
        if status.is_server_error() {
            return AttemptOutcome::Failed(AttemptFailure::ServerError.into());
        }
        // This engine does not have the model loaded, but another one may.
        if status == StatusCode::NOT_FOUND {
            return AttemptOutcome::Failed(AttemptFailure::Declined.into());
        }
        if status != StatusCode::OK {
            let body = answer.collect(state.limits.idle_time, ERROR_EXCERPT_BYTES).await;
            let excerpt = body.map(|body| String::from_utf8_lossy(&body).into_owned());
            let message = format!(
                "the engine rejected the request with status `{status}`: {}",
                excerpt.unwrap_or_default()
            );
            let code = RefusalCode::InvalidRequest;
            return AttemptOutcome::Rejected(Refusal::not_run(code, message, RepeatAdvice::Never));
        }
        self.accepted = true;
        let started_at = Instant::now();
        let delivered_before = self.delivered;
        match self.forward(state, context, target, &mut answer, caller).await {
            StreamOutcome::Complete => {
                let tokens = self.delivered.saturating_sub(delivered_before).0;
                let elapsed_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
                let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
                state.admission.record_answer(&target.endpoint, tokens, elapsed_ms);
                AttemptOutcome::Complete
            }
            StreamOutcome::CallerGone => AttemptOutcome::CallerGone,
            StreamOutcome::Failed(failure) => AttemptOutcome::Failed(failure.into()),
        }
    }

    fn prompt_estimate(&self) -> TokenCount {
        self.request.prompt_estimate
    }

    fn delivered(&self) -> TokenCount {
        self.delivered
    }

    fn reported(&self) -> Option<ReportedUsage> {
        self.reported
    }

    fn accepted(&self) -> bool {
        self.accepted
    }

    fn buffered_response(
        &mut self,
        context: &RequestContext,
        bill: &BillDecision,
    ) -> Option<Response<ResponseBody>> {
        if self.request.stream {
            return None;
        }
        let completion = CompletionBody::new(context, self, bill);
        let json: Bytes = serde_json::to_vec(&completion).unwrap_or_default().into();
        self.buffered_body = Some(json.clone());
        Some(json_response(StatusCode::OK, json, context.id))
    }

    fn recorded_outcome(&self) -> Option<RecordedOutcome> {
        let (content_type, body) = match &self.buffered_body {
            Some(buffered_body) => ("application/json", buffered_body.to_vec()),
            None => (EVENT_STREAM, self.events.clone()?),
        };
        let is_small = body.len() <= MAX_CACHED_BODY_BYTES;
        is_small.then(|| RecordedOutcome {
            status: 200,
            content_type: Some(content_type.into()),
            body,
        })
    }
}

/// A chat completion that is sent as one JSON body, in the format of the chat completions API.
#[derive(Serialize)]
struct CompletionBody<'answer> {
    id: String,
    object: &'static str,
    model: &'answer str,
    choices: [CompletionChoice<'answer>; 1],
    usage: CompletionUsage,
}

#[derive(Serialize)]
struct CompletionChoice<'answer> {
    index: u32,
    message: CompletionMessage<'answer>,
    finish_reason: &'answer str,
}

#[derive(Serialize)]
struct CompletionMessage<'answer> {
    role: &'static str,
    content: &'answer str,
}

#[derive(Serialize)]
struct CompletionUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl<'answer> CompletionBody<'answer> {
    fn new(context: &RequestContext, answer: &'answer ChatAttempts, bill: &BillDecision) -> Self {
        Self {
            id: format!("chatcmpl-{}", context.id),
            object: "chat.completion",
            model: answer.request.model.as_str(),
            choices: [CompletionChoice {
                index: 0,
                message: CompletionMessage { role: "assistant", content: &answer.text },
                finish_reason: answer.finish_reason.as_deref().unwrap_or("stop"),
            }],
            usage: CompletionUsage {
                prompt_tokens: bill.billed.saturating_sub(answer.delivered).0,
                completion_tokens: answer.delivered.0,
                total_tokens: bill.billed.0,
            },
        }
    }
}
