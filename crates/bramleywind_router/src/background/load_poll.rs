use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_config::EndpointRole;
use bramleywind_routing::LoadReport;
use bramleywind_types::EndpointId;
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use serde::Deserialize;

use crate::{CallTimes, DeclineRule, RouterState, call_endpoint};

/// How often endpoints are asked for their load.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long an endpoint may take to report. A later report says little of the present.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// The largest report, in bytes.
const REPORT_BYTES: usize = 64 * 1024;

/// What an engine reports, as far as the router uses it.
#[derive(Deserialize)]
struct EngineReport {
    running: u32,
    queued: u32,
    #[serde(default)]
    state: Option<Box<str>>,
}

/// Follows the load of the engines. Plain services report none.
pub async fn poll_loads(state: Rc<RouterState>) {
    loop {
        let next = Instant::now() + POLL_INTERVAL;
        if let Ok(routes) = state.current_routes() {
            let is_engine = |role: &EndpointRole| matches!(role, EndpointRole::Engine { .. });
            let engines = routes.endpoints.values().filter(|endpoint| is_engine(&endpoint.role));
            join_all(engines.map(|engine| poll_engine(&state, &engine.id, engine.address))).await;
        }
        compio::time::sleep_until(next).await;
    }
}

async fn poll_engine(state: &RouterState, endpoint: &EndpointId, address: SocketAddr) {
    // A poll that fails says nothing: requests find out whether the engine is up.
    let Some(report) = fetch_report(address).await else { return };
    let load = LoadReport { running: report.running, queued: report.queued };
    state.admission.record_report(endpoint, load);
    if report.state.as_deref() == Some("leaving") {
        let now = Instant::now();
        state.admission.update_health(|health| health.record_announcement(endpoint, now));
    }
}

async fn fetch_report(address: SocketAddr) -> Option<EngineReport> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("/v1/load");
    let host = HeaderValue::try_from(address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let times = CallTimes { connect: REPORT_TIME, first_byte: REPORT_TIME };
    let answer = call_endpoint(address, request, times, DeclineRule::LeavingOnly).await.ok()?;
    if !answer.head.status.is_success() {
        return None;
    }
    let body = answer.collect(REPORT_TIME, REPORT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
