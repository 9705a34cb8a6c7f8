use std::{
    convert::Infallible,
    future::pending,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{AnswerBody, HeadLimits, HttpListener};
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
    background::{follow_config, follow_endpoints, maintain_membership, maintain_presence},
    config::CallerLimits,
    forward::handle_request,
    loans::answer_peer,
    new_logger,
    platform_api::{Platform, WireCodec},
    settings::GatewaySettings,
    state_dump::dump_state,
};

/// The number of the signal that asks a process to stop, the same on all Unix systems.
const SIGTERM: i32 = 15;

/// The number of the signal that says the settings file has changed.
const SIGHUP: i32 = 1;

/// How long callers may use an answer that names the gateways. A gateway that leaves finds its callers gone after this.
const ENTRY_VALIDITY: Duration = Duration::from_secs(2);

/// How often a stopping process looks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// How long returning grants may take when the process ends.
const RETURN_TIME: Duration = Duration::from_millis(400);

/// How long handing grants over may take when the store is out of reach.
const HAND_OVER_TIME: Duration = Duration::from_millis(250);

/// How often idle connections that have grown too old are closed.
const POOL_REVIEW_TIME: Duration = Duration::from_secs(1);

/// Runs the gateway until it is asked to stop. `connect` makes the platform's store from the settings.
#[allow(clippy::print_stderr, reason = "before the settings are read, there is no log")]
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
    // Kept until the end, because dropping it writes what is left of the log.
    let (log, _log_guard) = new_logger(&settings.instance, settings.log_level);
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            crit!(log, "the runtime could not be started"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    let store = connect(&settings, &log);
    let gateway = Rc::new(Gateway::<P>::new(settings, store, log.clone()));
    let stop_asked = wait_for_stop(log.clone());
    match runtime.block_on(serve_until(gateway, stop_asked)) {
        Ok(()) => {
            info!(log, "gateway stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            crit!(log, "the gateway could not be started"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

/// Serves until `stop_asked` ends, and then stops as planned.
///
/// # Errors
///
/// If a port can't be opened.
pub async fn serve_until<P: Platform>(
    gateway: Rc<Gateway<P>>,
    stop_asked: impl Future<Output = ()>,
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
        late_head_answer,
    };
    let state = Rc::clone(&gateway);
    let callers = callers.serve(limits, move |request| {
        let gateway = Rc::clone(&state);
        async move {
            let is_leaving = gateway.stop_phase() != StopPhase::Running;
            let mut response = handle_request(gateway, request).await;
            if is_leaving {
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
        async move { Ok::<_, Infallible>(plain(status, Bytes::new())) }
    });
    let state = Rc::clone(&gateway);
    let _entries = entries.serve(limits, move |request| {
        let response = answer_entries(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let state = Rc::clone(&gateway);
    let _peers = peers.serve(limits, move |request| {
        let gateway = Rc::clone(&state);
        async move { Ok::<_, Infallible>(answer_peer(&gateway, request).await) }
    });
    let state = Rc::clone(&gateway);
    let _metrics = metrics.serve(limits, move |request| {
        let response = answer_metrics(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    info!(gateway.log(), "gateway started"; "callers" => %listen.callers,
        "version" => env!("CARGO_PKG_VERSION"));
    let config = compio::runtime::spawn(follow_config(Rc::clone(&gateway)));
    let endpoints = compio::runtime::spawn(follow_endpoints(Rc::clone(&gateway)));
    let membership = compio::runtime::spawn(maintain_membership(Rc::clone(&gateway)));
    let presence = compio::runtime::spawn(maintain_presence(Rc::clone(&gateway)));
    let state = Rc::clone(&gateway);
    let funds = compio::runtime::spawn(async move {
        state.funds().run(state.store(), state.log()).await;
    });
    let state = Rc::clone(&gateway);
    let loans = compio::runtime::spawn(async move {
        let lenders = || state.members().borrow().peer_addresses();
        state.funds().run_loans(&state.settings().instance, lenders, state.log()).await;
    });
    let pools = compio::runtime::spawn(review_pools(Rc::clone(&gateway)));
    let reloads = compio::runtime::spawn(note_reloads(gateway.log().clone()));
    stop_asked.await;
    stop(&gateway, &callers).await;
    drop((config, endpoints, presence, loans, pools, reloads));
    // It ends by itself once the process has left the list.
    membership.detach();
    gateway.funds().stop();
    if timeout(RETURN_TIME, funds).await.is_err() {
        info!(gateway.log(), "not all grants could be returned to the store");
    }
    let takers = gateway.members().borrow().peer_addresses();
    let hand_over = gateway.funds().hand_over(&gateway.settings().instance, takers, gateway.log());
    if timeout(HAND_OVER_TIME, hand_over).await.is_err() {
        info!(gateway.log(), "no gateway took the grants; they stay counted as spent");
    }
    Ok(())
}

/// Leaves: callers are sent elsewhere, then refused, and what runs is finished.
async fn stop<P: Platform>(gateway: &Gateway<P>, callers: &HttpListener) {
    let times = gateway.settings().stop;
    let started = Instant::now();
    let end_at = started + times.end_after;
    gateway.set_stop_phase(StopPhase::Leaving);
    gateway.funds().leave();
    info!(gateway.log(), "stopping: callers are sent elsewhere"; "open_requests" => gateway.open_requests());
    sleep(times.refuse_after).await;
    gateway.set_stop_phase(StopPhase::Refusing);
    info!(gateway.log(), "stopping: new requests are refused"; "open_requests" => gateway.open_requests());
    callers.close(end_at).await;
    while gateway.open_requests() > 0 && Instant::now() < end_at {
        sleep(STOP_POLL).await;
    }
    info!(gateway.log(), "stopping: requests have ended"; "open_requests" => gateway.open_requests());
}

async fn wait_for_stop(log: Logger) {
    if let Err(error) = compio::signal::unix::signal(SIGTERM).await {
        crit!(log, "signals cannot be received"; "error" => %error);
        pending::<()>().await;
    }
}

/// The settings hold nothing that can change while the process runs: addresses and the data centre. A signal to
/// read them again is noted, and must not end the process.
async fn note_reloads(log: Logger) {
    loop {
        match compio::signal::unix::signal(SIGHUP).await {
            Ok(()) => info!(log, "reload asked for; the settings in use stay"),
            Err(error) => {
                crit!(log, "signals cannot be received"; "error" => %error);
                return;
            }
        }
    }
}

async fn review_pools<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        sleep(POOL_REVIEW_TIME).await;
        let now = Instant::now();
        for endpoint in gateway.endpoints().borrow().iter() {
            endpoint.pool().borrow_mut().close_expired(now);
        }
    }
}

fn answer_entries<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<Incoming>,
) -> Response<AnswerBody> {
    if !P::Wire::is_entry_query(request.uri().path()) {
        return plain(StatusCode::NOT_FOUND, Bytes::new());
    }
    let entries = gateway.members().borrow().entries();
    json(P::Wire::entry_answer(&entries, ENTRY_VALIDITY))
}

fn answer_metrics<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<Incoming>,
) -> Response<AnswerBody> {
    match request.uri().path() {
        "/metrics" => plain(StatusCode::OK, gateway.metrics().text().into()),
        "/state" => json(dump_state(gateway).to_string().into()),
        _ => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

fn json(body: Bytes) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// The answer to a caller whose request head did not arrive in time.
fn late_head_answer() -> Vec<u8> {
    b"HTTP/1.1 408 Request Timeout\r\nretry-after: 0\r\nconnection: close\r\ncontent-length: 0\r\n\r\n".to_vec()
}
