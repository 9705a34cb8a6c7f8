//! The port for operators: status, dump, balances, metrics and the drain.

use std::{convert::Infallible, rc::Rc};

use bramleywind_http::AnswerBody;
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

/// The type of the metrics text.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The path of balances, followed by the budget.
const BALANCE_PATH_PREFIX: &str = "/v1/balance/";

/// The answer to `GET /v1/status`.
#[derive(Debug, Clone, Serialize)]
pub struct RouterStatusResponse {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation that it spends under.
    pub incarnation: IncarnationId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// The revision in force; zero before the first one.
    pub revision: ConfigRevision,
    /// `live` or `leaving`.
    pub state: &'static str,
}

/// What callers of the operator port may do.
#[derive(Debug, Clone)]
pub struct OperatorAccess {
    /// The token that they must know.
    pub token: Secret,
    /// Whether they may cut links to peers.
    pub allow_test_faults: bool,
}

/// The largest body of an order, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Answers one request of an operator.
pub async fn handle_operator_request(
    state: Rc<RouterState>,
    access: OperatorAccess,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let id = RequestId::random();
    let answer = match bearer_key(request.headers()) {
        Some(given) if secrets_match(given, access.token.expose()) => {
            route_request(&state, &access, id, request).await
        }
        _ => Err(Refusal::not_run(
            RefusalCode::Unauthorized,
            "the operators' token is missing or wrong; send `authorization: Bearer <token>`",
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
) -> Result<Response<AnswerBody>, Refusal> {
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
            let budget: BudgetId = name
                .parse()
                .map_err(|error| not_found(format!("the path names no budget: {error}")))?;
            let balance = state.ledger.balance(&budget).ok_or_else(|| {
                not_found(format!("the budget `{budget}` was not used by this router"))
            })?;
            Ok(ok_response(&balance, id))
        }
        (method, path) => {
            let message = format!("there is no `{method} {path}`");
            Err(Refusal::not_run(RefusalCode::NotFound, message, RepeatAdvice::Never))
        }
    }
}

async fn set_link_fault(
    state: &RouterState,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let invalid = |message: String| {
        Refusal::not_run(RefusalCode::InvalidRequest, message, RepeatAdvice::Never)
    };
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| invalid(format!("the body could not be read: {error}")))?;
    let fault: LinkFault = serde_json::from_slice(&body.to_bytes())
        .map_err(|error| invalid(format!("the body is no link fault: {error}")))?;
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

fn metrics_response(state: &RouterState) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::from(state.metrics.encode())));
    let text = HeaderValue::from_static(METRICS_CONTENT_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}

fn ok_response(value: &impl Serialize, id: RequestId) -> Response<AnswerBody> {
    json_response(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default().into(), id)
}
