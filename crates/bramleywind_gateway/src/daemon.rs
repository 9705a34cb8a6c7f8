use std::{
    convert::Infallible,
    future::pending,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use async_channel::Sender;
use bramleywind_http::{HeadLimits, HttpListener, ResponseBody};
use bramleywind_signals::{DaemonSignals, SignalKind};
use bramleywind_types::WorkspaceId;
use bytes::Bytes;
use compio::{
    runtime::Runtime,
    time::{sleep, timeout},
};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use slog::{Logger, crit, info};

use crate::{
    Args, Gateway, StopPhase,
    background::{
        follow_config, follow_endpoints, judge_parts, maintain_membership, maintain_presence,
        raise_ceilings, report_traffic, return_silent_holders, spread_crash_news, spread_rate_news,
    },
    config::CallerLimits,
    forward::handle_request,
    loans::answer_peer,
    new_logger,
    platform_api::{Platform, WireCodec},
    settings::GatewaySettings,
    state_dump::dump_state,
};

/// How long callers may use a list of gateways. Callers have left a stopping gateway after this time.
const ENTRY_VALIDITY: Duration = Duration::from_secs(2);

/// Interval at which a stopping process checks whether its requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time in which the last answers of a stopping process reach their callers.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Time for returning grants to the store when the process ends.
const GRANT_RETURN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for handing grants over to another gateway when the store is unreachable.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of gateways that are asked for a loan in turn: the primary of the budget and those that come after it.
const MAX_LENDERS: usize = 2;

/// Interval at which expired idle connections are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the gateway until it is asked to stop. `connect` creates the client of the platform's store from the settings.
#[allow(clippy::print_stderr, reason = "there is no log before the settings are read")]
pub fn run_gateway<P: Platform>(
    args: &Args,
    connect: impl FnOnce(&GatewaySettings, &Logger) -> P::Store,
) -> ExitCode {
    let settings = match GatewaySettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    // Held until the end because dropping the guard flushes the log.
    let (log, _log_guard) = new_logger(&settings.instance, settings.log_level);
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            crit!(log, "runtime could not be started"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    let store = connect(&settings, &log);
    let gateway = Rc::new(Gateway::<P>::new(settings, store, log.clone()));
    let outcome = runtime.block_on(async {
        let signals = DaemonSignals::register().await?;
        let (stop, stopped) = async_channel::bounded(1);
        // Signals are received until the process ends.
        let _signals = compio::runtime::spawn(watch_signals(signals, stop, log.clone()));
        let stop_requested = async move {
            // A closed channel means that no signal can arrive any more.
            if stopped.recv().await.is_err() {
                pending::<()>().await;
            }
        };
        serve_until(gateway, stop_requested).await
    });
    match outcome {
        Ok(()) => {
            info!(log, "gateway stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            crit!(log, "gateway could not be started"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

/// Serves until `stop_requested` completes, and then performs a planned stop.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn serve_until<P: Platform>(
    gateway: Rc<Gateway<P>>,
    stop_requested: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let listen = gateway.settings().listen;
    let callers = HttpListener::bind(listen.callers).await?;
    let readiness = HttpListener::bind(listen.readiness).await?;
    let entries = HttpListener::bind(listen.entries).await?;
    let peers = HttpListener::bind(listen.peers).await?;
    let metrics = HttpListener::bind(listen.metrics).await?;
    let limits = CallerLimits::default();
    let limits = HeadLimits {
        read_time: limits.idle_time,
        header_bytes: limits.head_bytes,
        timeout_response,
    };
    let (state, connections) = (Rc::clone(&gateway), callers.connection_count());
    let admission = Rc::clone(&gateway);
    let takes_connections = move || admission.takes_connections(Instant::now());
    let callers = callers.serve_while(limits, takes_connections, move |request| {
        let (gateway, connections) = (Rc::clone(&state), connections.clone());
        async move {
            let is_closed = gateway.stop_phase() != StopPhase::Running
                || !gateway.admission().keeps_connection(connections.get(), Instant::now());
            let mut response = handle_request(gateway, request).await;
            if is_closed {
                let headers = response.headers_mut();
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let state = Rc::clone(&gateway);
    let _readiness = readiness.serve(limits, move |_| {
        let is_ready = state.is_ready();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        async move { Ok::<_, Infallible>(text_response(status, Bytes::new())) }
    });
    let state = Rc::clone(&gateway);
    let _entries = entries.serve(limits, move |request| {
        let response = handle_entries(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let state = Rc::clone(&gateway);
    let _peers = peers.serve(limits, move |request| {
        let gateway = Rc::clone(&state);
        async move { Ok::<_, Infallible>(answer_peer(&gateway, request).await) }
    });
    let state = Rc::clone(&gateway);
    let _metrics = metrics.serve(limits, move |request| {
        let response = handle_metrics(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    info!(gateway.log(), "gateway started"; "callers" => %listen.callers,
        "version" => env!("CARGO_PKG_VERSION"));
    let config = compio::runtime::spawn(follow_config(Rc::clone(&gateway)));
    let endpoints = compio::runtime::spawn(follow_endpoints(Rc::clone(&gateway)));
    let membership = compio::runtime::spawn(maintain_membership(Rc::clone(&gateway)));
    let presence = compio::runtime::spawn(maintain_presence(Rc::clone(&gateway)));
    let ceilings = compio::runtime::spawn(raise_ceilings(Rc::clone(&gateway)));
    let silent_holders = compio::runtime::spawn(return_silent_holders(Rc::clone(&gateway)));
    let crash_news = compio::runtime::spawn(spread_crash_news(Rc::clone(&gateway)));
    let part_news = compio::runtime::spawn(judge_parts(Rc::clone(&gateway)));
    let rate_news = compio::runtime::spawn(spread_rate_news(Rc::clone(&gateway)));
    let state = Rc::clone(&gateway);
    let funds = compio::runtime::spawn(async move {
        state.funds().run(state.store(), state.log()).await;
    });
    let state = Rc::clone(&gateway);
    let loans = compio::runtime::spawn(async move {
        let lenders =
            |workspace: &WorkspaceId| state.members().borrow().lenders(workspace, MAX_LENDERS);
        state.funds().run_loans(&state.settings().instance, lenders, state.log()).await;
    });
    let state = Rc::clone(&gateway);
    let returns = compio::runtime::spawn(async move {
        let lenders =
            |workspace: &WorkspaceId| state.members().borrow().lenders(workspace, MAX_LENDERS);
        state.funds().run_returns(&state.settings().instance, lenders, state.log()).await;
    });
    let pools = compio::runtime::spawn(close_expired_connections(Rc::clone(&gateway)));
    let traffic = compio::runtime::spawn(report_traffic(Rc::clone(&gateway)));
    stop_requested.await;
    drain(&gateway, &callers).await;
    drop((config, endpoints, presence, loans, returns, pools, crash_news, part_news));
    drop((rate_news, traffic, ceilings, silent_holders));
    // The task ends by itself once the process has left the member list.
    membership.detach();
    gateway.funds().stop();
    if timeout(GRANT_RETURN_TIMEOUT, funds).await.is_err() {
        info!(gateway.log(), "some grants were not returned to the store in time");
    }
    let recipients = gateway.members().borrow().peer_addresses();
    let hand_over =
        gateway.funds().hand_over(&gateway.settings().instance, recipients, gateway.log());
    if timeout(HAND_OVER_TIMEOUT, hand_over).await.is_err() {
        info!(gateway.log(), "grants were not handed over in time; they stay counted as spent");
    }
    Ok(())
}

/// Drains the gateway: sends callers elsewhere, then refuses new requests, and waits for open requests to finish.
async fn drain<P: Platform>(gateway: &Gateway<P>, callers: &HttpListener) {
    let stop_times = gateway.settings().stop;
    let started = Instant::now();
    let end_time = started + stop_times.end_after;
    let last_answer_at = end_time.checked_sub(LAST_ANSWER_TIME).unwrap_or(end_time);
    gateway.set_last_answer_time(last_answer_at);
    gateway.set_stop_phase(StopPhase::Leaving);
    gateway.funds().leave();
    info!(gateway.log(), "stopping: callers are sent elsewhere"; "open_requests" => gateway.open_requests());
    sleep(stop_times.refuse_after).await;
    gateway.set_stop_phase(StopPhase::Refusing);
    info!(gateway.log(), "stopping: new requests are refused"; "open_requests" => gateway.open_requests());
    callers.close(last_answer_at).await;
    if gateway.open_requests() > 0 {
        info!(gateway.log(), "stopping: no longer waiting for endpoints"; "open_requests" => gateway.open_requests());
        gateway.end_answers();
        callers.close(end_time).await;
    }
    while gateway.open_requests() > 0 && Instant::now() < end_time {
        sleep(STOP_POLL_INTERVAL).await;
    }
    info!(gateway.log(), "stopping: requests have ended"; "open_requests" => gateway.open_requests());
}

/// Requests a planned stop at the first signal to stop. Later ones change nothing. The settings are not reloaded: they hold addresses and
/// the data centre, which cannot change while the process runs.
async fn watch_signals(mut signals: DaemonSignals, stop: Sender<()>, log: Logger) {
    let mut stop_count = 0_u32;
    loop {
        match signals.next().await {
            Ok(SignalKind::Stop) => {
                stop_count = stop_count.saturating_add(1);
                if stop_count == 2 {
                    info!(log, "asked to stop again; the stop under way goes on");
                }
                // A full channel means that the stop was requested already.
                let _ = stop.try_send(());
            }
            Ok(SignalKind::Reload) => info!(log, "reload asked for; the settings in use stay"),
            Err(error) => {
                crit!(log, "signals cannot be received"; "error" => %error);
                // The sender is kept, since its end would not be a request to stop.
                pending::<()>().await;
            }
        }
    }
}

/// Closes expired idle connections to endpoints at regular intervals.
async fn close_expired_connections<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        sleep(POOL_SWEEP_INTERVAL).await;
        let now = Instant::now();
        for endpoint in gateway.endpoints().borrow().iter() {
            endpoint.pool().borrow_mut().close_expired(now);
        }
        gateway.funds().loan_client().close_expired(now);
    }
}

/// Answers a caller's query for the list of gateways.
fn handle_entries<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    if !P::Wire::is_entry_query(request.uri().path()) {
        return text_response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let entries = gateway.members().borrow().entries();
    json_response(P::Wire::entry_answer(&entries, ENTRY_VALIDITY))
}

/// Serves the metrics and the state dump.
fn handle_metrics<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    match request.uri().path() {
        "/metrics" => {
            gateway.update_age_metrics(Instant::now());
            text_response(StatusCode::OK, gateway.metrics().text().into())
        }
        "/state" => json_response(dump_state(gateway).to_string().into()),
        _ => text_response(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn text_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

fn json_response(body: Bytes) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the raw response to a caller whose request head did not arrive in time.
fn timeout_response() -> Vec<u8> {
    b"HTTP/1.1 408 Request Timeout\r\nretry-after: 0\r\nconnection: close\r\ncontent-length: 0\r\n\r\n".to_vec()
}
