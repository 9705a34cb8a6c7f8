use std::{
    collections::BTreeSet,
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

use crate::{AttemptFailure, CallTimeouts, DeclineRule, RouterState, call_endpoint};

/// How often the engines are polled for their load.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long an engine may take to report. A later report is out of date when it arrives.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest report accepted, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// The fields of an engine's load report that the router uses.
#[derive(Deserialize)]
struct EngineReport {
    running: u32,
    queued: u32,
    #[serde(default)]
    state: Option<Box<str>>,
    /// The loaded models. Some engines do not list them.
    #[serde(default)]
    models: Option<BTreeSet<Box<str>>>,
}

/// Polls the load of all engines. Services do not report any.
pub async fn poll_loads(state: Rc<RouterState>) {
    loop {
        let next = Instant::now() + POLL_INTERVAL;
        let routers = u32::try_from(state.live_peers().len() + 1).unwrap_or(u32::MAX);
        state.admission.set_router_count(routers);
        if let Ok(routes) = state.current_routes() {
            let is_engine = |role: &EndpointRole| matches!(role, EndpointRole::Engine { .. });
            let engines = routes.endpoints.values().filter(|endpoint| is_engine(&endpoint.role));
            join_all(engines.map(|engine| poll_engine(&state, &engine.id, engine.address))).await;
        }
        compio::time::sleep_until(next).await;
    }
}

async fn poll_engine(state: &RouterState, endpoint: &EndpointId, address: SocketAddr) {
    let report = match fetch_report(address).await {
        Ok(report) => report,
        Err(AttemptFailure::NotConnected) => {
            let now = Instant::now();
            return state.admission.update_health(|health| health.record_down(endpoint, now));
        }
        // A late or invalid report leaves the state of the engine unknown; requests will show it.
        Err(_) => return,
    };
    state.admission.update_health(|health| {
        health.record_up(endpoint);
        health.record_models(endpoint, report.models);
    });
    let load = LoadReport { running: report.running, queued: report.queued };
    state.admission.record_report(endpoint, load);
    if report.state.as_deref() == Some("leaving") {
        let now = Instant::now();
        state.admission.update_health(|health| health.record_announcement(endpoint, now));
    }
}

async fn fetch_report(address: SocketAddr) -> Result<EngineReport, AttemptFailure> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("/v1/load");
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let times = CallTimeouts { connect: REPORT_TIMEOUT, first_byte: REPORT_TIMEOUT };
    let call = call_endpoint(address, request, times, DeclineRule::LeavingOnly).await;
    let answer = call.map_err(|failed| failed.failure)?;
    let body = answer.collect(REPORT_TIMEOUT, MAX_REPORT_BYTES).await?;
    serde_json::from_slice(&body).map_err(|_| AttemptFailure::ServerError)
}
