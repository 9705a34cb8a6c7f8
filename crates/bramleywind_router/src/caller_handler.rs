//! Handles the requests of callers: reads them within the limits, refuses those that cannot run, and starts a
//! task for each of the others.

use std::{convert::Infallible, rc::Rc, time::Instant};

use bramleywind_http::{ResponseBody, head_size};
use bramleywind_routing::RouteRequest;
use bramleywind_types::{
    BodyHash, IdempotencyKey, Refusal, RefusalCode, RepeatAdvice, RequestId, RequestKey, RunState,
    ServiceId,
};
use bytes::{Bytes, BytesMut};
use compio::time::timeout;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use slog::info;

use crate::{
    AttemptRunner, CallerChannel, ChatAttempts, ChatRequest, DrainPhase, KeyOwner, LEAVING_HEADER,
    RequestContext, RequestOutcome, RequestTask, RouteTarget, RouterState, ServiceAttempts,
    ServiceRequest, bearer_key, entry_list, is_unambiguous_path, json_response, refusal_response,
};

/// The header with the idempotency key of a request.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The path prefix of calls to services.
const SERVICES_PREFIX: &str = "/services/";

/// Handles one request of a caller.
pub async fn handle_caller_request(
    state: Rc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let id = RequestId::random();
    let has_key = request.headers().contains_key(KEY_HEADER);
    let mut response = match route_request(&state, id, request).await {
        Ok(response) => response,
        Err(refusal) => refuse(&state, id, mark_possible_earlier_run(refusal, has_key)),
    };
    if state.drain.borrow().is_leaving() {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    }
    Ok(response)
}

/// Changes a refusal that is due to the state of this router to `may_have_run` if the request has a key: an
/// earlier request with the same key may be running on another router (guarantee G4).
fn mark_possible_earlier_run(refusal: Refusal, has_key: bool) -> Refusal {
    match refusal.code {
        RefusalCode::Leaving | RefusalCode::NotReady if has_key => {
            Refusal { ran: RunState::MayHaveRun, repeat: RepeatAdvice::SameKey, ..refusal }
        }
        _ => refusal,
    }
}

fn refuse(state: &RouterState, id: RequestId, refusal: Refusal) -> Response<ResponseBody> {
    state.metrics.record_request(RequestOutcome::Refused);
    let code = state.metrics.record_refusal(&refusal);
    info!(state.log, "request refused"; "request" => %id, "code" => code,
        "message" => &*refusal.message);
    let mut response = refusal_response(&refusal, id);
    let is_unread = matches!(
        refusal.code,
        RefusalCode::BodyTooLarge | RefusalCode::RequestTimeout | RefusalCode::HeadersTooLarge
    );
    if is_unread {
        // The rest of the request is not read, so the connection cannot be reused.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn route_request(
    state: &Rc<RouterState>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    check_headers(state, request.headers())?;
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/healthz") => Ok(health_response(state, id)),
        (&Method::GET, "/v1/entries") => Ok(json_ok(&entry_list(state), id)),
        (&Method::GET, "/v1/models") => list_models(state, id, request.headers()),
        (&Method::POST, "/v1/chat/completions") => start_chat(state, id, request).await,
        (_, path) if path.starts_with(SERVICES_PREFIX) => start_service(state, id, request).await,
        (method, path) => {
            let message = format!("there is no route for `{method} {path}`");
            Err(Refusal::not_run(RefusalCode::NotFound, message, RepeatAdvice::Never))
        }
    }
}

fn check_headers(state: &RouterState, headers: &HeaderMap) -> Result<(), Refusal> {
    let size = head_size(headers);
    if size <= state.limits.header_bytes {
        return Ok(());
    }
    let limit = state.limits.header_bytes;
    let message = format!("the headers are {size} bytes long; send at most {limit}");
    Err(Refusal::not_run(RefusalCode::HeadersTooLarge, message, RepeatAdvice::Never))
}

fn health_response(state: &RouterState, id: RequestId) -> Response<ResponseBody> {
    let status = match (state.phase(), state.routes.borrow().is_some()) {
        (DrainPhase::Live | DrainPhase::Grace, true) => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    json_response(status, Bytes::from_static(b"{}"), id)
}

/// The response body of `GET /v1/models`.
#[derive(Serialize)]
struct ModelList<'models> {
    object: &'static str,
    data: Vec<ModelEntry<'models>>,
}

#[derive(Serialize)]
struct ModelEntry<'models> {
    id: &'models str,
    object: &'static str,
}

fn list_models(
    state: &RouterState,
    id: RequestId,
    headers: &HeaderMap,
) -> Result<Response<ResponseBody>, Refusal> {
    let routes = state.current_routes()?;
    let owner = routes.authorize(bearer_key(headers))?;
    let models = routes.models_of(&owner.workspace).into_iter();
    let data = models.map(|id| ModelEntry { id: id.as_str(), object: "model" }).collect();
    Ok(json_ok(&ModelList { object: "list", data }, id))
}

fn json_ok(value: &impl Serialize, id: RequestId) -> Response<ResponseBody> {
    json_response(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default().into(), id)
}

/// Refuses new requests once the grace period of a drain is over.
fn check_phase(state: &RouterState) -> Result<(), Refusal> {
    match state.phase() {
        DrainPhase::Live | DrainPhase::Grace => Ok(()),
        DrainPhase::Finishing | DrainPhase::Finished => {
            let message = "the router is leaving; use another entry";
            let code = RefusalCode::Leaving;
            Err(Refusal::not_run(code, message, RepeatAdvice::AfterDelay).after_ms(0))
        }
    }
}

async fn start_chat(
    state: &Rc<RouterState>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    check_phase(state)?;
    let routes = state.current_routes()?;
    let owner = routes.authorize(bearer_key(request.headers()))?.clone();
    let key = idempotency_key(&owner, request.headers())?;
    let (head, body) = request.into_parts();
    let body = read_body(state, body).await?;
    let chat = ChatRequest::parse(&body)?;
    let model = routes.model(&owner.workspace, &chat.model)?;
    let too_large = || {
        let message = format!(
            "the request may exceed the limit of {} tokens of the model `{}`; shorten the prompt or \
             lower `max_tokens`",
            model.max_request_tokens, model.id
        );
        Refusal::not_run(RefusalCode::InvalidRequest, message, RepeatAdvice::Never)
    };
    let reserved = chat
        .reservation()
        .filter(|tokens| tokens.0 <= u64::from(model.max_request_tokens))
        .ok_or_else(too_large)?;
    let hash = BodyHash::of(&[head.method.as_str().as_bytes(), head.uri.path().as_bytes(), &body]);
    let route = chat.route();
    let idempotent = model.idempotent;
    let target = RouteTarget::Model(model.id.clone());
    let context = new_context(state, id, owner, key, hash);
    let runner = ChatAttempts::new(chat);
    start_task(state, CheckedRequest { context, target, route, idempotent, reserved, runner }).await
}

async fn start_service(
    state: &Rc<RouterState>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    check_phase(state)?;
    let routes = state.current_routes()?;
    let owner = routes.authorize(bearer_key(request.headers()))?.clone();
    let key = idempotency_key(&owner, request.headers())?;
    let (head, body) = request.into_parts();
    let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let target_path = path_and_query.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, rest) = target_path.split_once('/').unwrap_or((target_path, ""));
    let rest = format!("/{rest}");
    let not_found =
        |message: String| Refusal::not_run(RefusalCode::NotFound, message, RepeatAdvice::Never);
    let service: ServiceId = name
        .parse()
        .map_err(|error| not_found(format!("the path has no valid service name: {error}")))?;
    let uri: http::Uri =
        rest.parse().map_err(|_| not_found(format!("`{rest}` is not a valid path")))?;
    if !is_unambiguous_path(uri.path()) {
        let message = format!(
            "the path `{}` is ambiguous; send it without dot segments, empty segments and needless \
             escapes",
            uri.path()
        );
        return Err(not_found(message));
    }
    let (config, route) = routes.service(&owner.workspace, &service, &head.method, uri.path())?;
    if !route.idempotent && key.is_none() {
        let message = "this call is not idempotent; send an `Idempotency-Key` header";
        return Err(Refusal::not_run(RefusalCode::KeyRequired, message, RepeatAdvice::Never));
    }
    let body = read_body(state, body).await?;
    let method = head.method.as_str().as_bytes();
    let hash = BodyHash::of(&[method, path_and_query.as_bytes(), &body]);
    let (idempotent, price) = (route.idempotent, config.tokens_per_call);
    let request = ServiceRequest {
        method: head.method,
        uri,
        headers: ServiceRequest::forwarded_headers(&head.headers),
        body,
        price,
        idempotent,
    };
    let checked = CheckedRequest {
        context: new_context(state, id, owner, key, hash),
        target: RouteTarget::Service(service),
        route: RouteRequest { prefix: None, prompt_tokens: 0, answer_tokens: 0 },
        idempotent,
        reserved: price,
        runner: ServiceAttempts::new(request),
    };
    start_task(state, checked).await
}

fn new_context(
    state: &RouterState,
    id: RequestId,
    owner: KeyOwner,
    key: Option<RequestKey>,
    hash: BodyHash,
) -> RequestContext {
    let arrived = Instant::now();
    let deadline = arrived + state.limits.total_time;
    let KeyOwner { workspace, budget } = owner;
    RequestContext { id, workspace, budget, key, hash, arrived, deadline }
}

/// A request that passed all checks, ready to start.
struct CheckedRequest<R> {
    context: RequestContext,
    target: RouteTarget,
    route: RouteRequest,
    idempotent: bool,
    reserved: bramleywind_types::TokenCount,
    runner: R,
}

/// Starts the task of a request and waits for the head of its response.
async fn start_task<R: AttemptRunner + 'static>(
    state: &Rc<RouterState>,
    checked: CheckedRequest<R>,
) -> Result<Response<ResponseBody>, Refusal> {
    // The body may have taken a while.
    check_phase(state)?;
    let (caller, response) = CallerChannel::new(state.limits.write_time);
    let CheckedRequest { context, target, route, idempotent, reserved, runner } = checked;
    let task = RequestTask {
        state: state.clone(),
        running: state.begin_request(),
        context,
        target,
        route,
        idempotent,
        reserved,
        runner,
        caller,
    };
    // The request runs in a task of its own, because the connection's task ends with the connection, and the
    // bill must be settled even then.
    compio::runtime::spawn(task.run()).detach();
    response.await.map_err(|_| {
        let message = "the request ended without an answer";
        Refusal::may_have_run(RefusalCode::EndpointFailed, message, RepeatAdvice::SameKey)
    })
}

fn idempotency_key(owner: &KeyOwner, headers: &HeaderMap) -> Result<Option<RequestKey>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    let invalid = |reason: String| {
        let message = format!("the `Idempotency-Key` header is not valid: {reason}");
        Refusal::not_run(RefusalCode::InvalidRequest, message, RepeatAdvice::Never)
    };
    let text = value.to_str().map_err(|error| invalid(error.to_string()))?;
    let key: IdempotencyKey =
        text.parse().map_err(|error: bramleywind_types::NameError| invalid(error.to_string()))?;
    Ok(Some(RequestKey { workspace: owner.workspace.clone(), key }))
}

/// Reads a body within the limits on its size and the time it takes.
async fn read_body(state: &RouterState, body: Incoming) -> Result<Bytes, Refusal> {
    let limit = state.limits.body_bytes;
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        Refusal::not_run(RefusalCode::BodyTooLarge, message, RepeatAdvice::Never)
    };
    let declared = hyper::body::Body::size_hint(&body).lower();
    if declared > limit as u64 {
        return Err(too_large());
    }
    match timeout(state.limits.read_time, collect_body(body, limit)).await {
        Ok(Ok(Some(body))) => Ok(body),
        Ok(Ok(None)) => Err(too_large()),
        Ok(Err(error)) => {
            let message = format!("the body could not be read: {error}");
            Err(Refusal::not_run(RefusalCode::InvalidRequest, message, RepeatAdvice::Never))
        }
        Err(_) => {
            let message = "the request was not received in time";
            Err(Refusal::not_run(RefusalCode::RequestTimeout, message, RepeatAdvice::AfterDelay)
                .after_ms(0))
        }
    }
}

/// Returns the whole body, or `None` if it is larger than `limit` bytes.
async fn collect_body(mut body: Incoming, limit: usize) -> Result<Option<Bytes>, hyper::Error> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if collected.len() + data.len() > limit {
            return Ok(None);
        }
        collected.extend_from_slice(&data);
    }
    Ok(Some(collected.freeze()))
}
