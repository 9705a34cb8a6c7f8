//! Requests to the operator port: status, state dump, balances, metrics, drain and link faults.

use std::{convert::Infallible, rc::Rc};

use bramleywind_http::ResponseBody;
use bramleywind_peer::LinkFault;
use bramleywind_settings::Secret;
use bramleywind_types::{
    BudgetId, ConfigRevision, DataCentreId, IncarnationId, InstanceId, Refusal, RefusalCode,
    RepeatAdvice, RequestId,
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::{RouterState, StateDump, bearer_key, json_response, refusal_response, secrets_match};

/// The content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The path prefix of balance requests, followed by the budget ID.
const BALANCE_PATH_PREFIX: &str = "/v1/balance/";

/// The response to `GET /v1/status`.
#[derive(Debug, Clone, Serialize)]
pub struct RouterStatusResponse {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The incarnation under which the router spends tokens.
    pub incarnation: IncarnationId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The configuration revision in force, or zero if there is none yet.
    pub revision: ConfigRevision,
    /// `live`, or `leaving` once the drain has begun.
    pub state: &'static str,
}

/// The access rules of the operator port.
#[derive(Debug, Clone)]
pub struct OperatorAccess {
    /// The bearer token that every request must carry.
    pub token: Secret,
    /// Whether requests may cut links to peers, for tests.
    pub allow_test_faults: bool,
}

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Handles a request to the operator port. Refuses it if the bearer token is missing or wrong.
pub async fn handle_operator_request(
    state: Rc<RouterState>,
    access: OperatorAccess,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let id = RequestId::random();
    let answer = match bearer_key(request.headers()) {
        Some(given) if secrets_match(given, access.token.expose()) => {
            route_request(&state, &access, id, request).await
        }
        _ => Err(Refusal::not_run(
            RefusalCode::Unauthorized,
            "the operator token is missing or wrong; send `authorization: Bearer <token>`",
            RepeatAdvice::Never,
        )),
    };
    Ok(answer.unwrap_or_else(|refusal| refusal_response(&refusal, id)))
}

async fn route_request(
    state: &Rc<RouterState>,
    access: &OperatorAccess,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/status") => Ok(ok_response(&router_status(state), id)),
        (&Method::GET, "/v1/dump") => Ok(ok_response(&StateDump::capture(state), id)),
        (&Method::GET, "/metrics") => Ok(metrics_response(state)),
        (&Method::POST, "/v1/drain") => {
            state.begin_drain("operator");
            Ok(ok_response(&router_status(state), id))
        }
        (&Method::POST, "/v1/faults") if access.allow_test_faults => {
            set_link_fault(state, id, request).await
        }
        (&Method::GET, path) if path.starts_with(BALANCE_PATH_PREFIX) => {
            let name = path.strip_prefix(BALANCE_PATH_PREFIX).unwrap_or_default();
            let not_found =
                |message| Refusal::not_run(RefusalCode::NotFound, message, RepeatAdvice::Never);
            let budget: BudgetId = name.parse().map_err(|error| {
                not_found(format!("the path does not end in a valid budget ID: {error}"))
            })?;
            let balance = state
                .ledger
                .balance(&budget)
                .ok_or_else(|| not_found(format!("this router has not used budget `{budget}`")))?;
            Ok(ok_response(&balance, id))
        }
        (method, path) => {
            let message = format!("unknown operation `{method} {path}`");
            Err(Refusal::not_run(RefusalCode::NotFound, message, RepeatAdvice::Never))
        }
    }
}

async fn set_link_fault(
    state: &RouterState,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let invalid = |message: String| {
        Refusal::not_run(RefusalCode::InvalidRequest, message, RepeatAdvice::Never)
    };
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| invalid(format!("cannot read the request body: {error}")))?;
    let fault: LinkFault = serde_json::from_slice(&body.to_bytes())
        .map_err(|error| invalid(format!("the request body is not a valid link fault: {error}")))?;
    if let Some(client) = state.link.client() {
        client.set_fault(fault.clone());
    }
    Ok(ok_response(&fault, id))
}

fn router_status(state: &RouterState) -> RouterStatusResponse {
    let routes = state.routes.borrow();
    RouterStatusResponse {
        instance: state.identity.instance.clone(),
        incarnation: state.ledger.incarnation(),
        data_centre: state.identity.data_centre.clone(),
        revision: routes.as_ref().map_or(ConfigRevision(0), |routes| routes.revision),
        state: if state.drain.borrow().is_leaving() { "leaving" } else { "live" },
    }
}

fn metrics_response(state: &RouterState) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(Bytes::from(state.metrics.encode())));
    let text = HeaderValue::from_static(METRICS_CONTENT_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}

fn ok_response(value: &impl Serialize, id: RequestId) -> Response<ResponseBody> {
    json_response(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default().into(), id)
}
