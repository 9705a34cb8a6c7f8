use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{BodyMemory, ResponseBody, TrafficTotals, head_size};
use bramleywind_types::{ServiceId, TokenCount, WorkspaceId};
use bytes::Bytes;
use compio::time::timeout;
use http::{Request, Response, Uri, request::Parts};
use hyper::body::{Body, Incoming};
use rand::Rng;
use slog::info;

use super::{
    Refusal, RefusalReason, RequestContext, RequestTrace,
    body_reader::{BodyReadOutcome, read_body},
    request_forwarder::RequestForwarder,
};
use crate::{
    admission::AdmissionDecision,
    config::{RouteConfig, RouteTable},
    crashes::{CallFingerprint, SharedPart},
    funds::{BudgetAccount, FundsEffort, Reservation, ReserveOutcome},
    gateway::{Gateway, StopPhase},
    platform_api::{Platform, PromptProfile, RequestHead, WireCodec},
};

/// Retry delay for callers of a gateway that has no configuration or no endpoint yet. A healthy store answers within
/// milliseconds.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay for callers whose body found no memory. Other bodies leave the memory when their requests end.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay for callers whose request lacks funds while the store does not answer. Standby tokens are released
/// continuously, and an outage lasts for seconds.
const FUNDS_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Handles one request of a caller.
pub async fn handle_request<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrival = Instant::now();
    let mut trace = gateway.start_trace(arrival);
    let (parts, body) = request.into_parts();
    let head = P::Wire::read_request(&parts, arrival);
    trace.request_id = head.request_id.clone().unwrap_or_default();
    let admitted = match admit(&gateway, &parts, head, body, &mut trace).await {
        Ok(admitted) => admitted,
        Err(refusal) => return trace.refuse::<P::Wire>(refusal),
    };
    let (context, reservation) = admitted;
    gateway.count_request(&context.service, arrival);
    RequestForwarder::default().serve(gateway, context, trace, reservation).await
}

/// Routes and authorizes a request, reads its body and reserves its tokens.
async fn admit<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    parts: &Parts,
    head: RequestHead,
    body: Incoming,
    trace: &mut RequestTrace,
) -> Result<(RequestContext, Option<Reservation>), Refusal> {
    let arrival = trace.arrival();
    let Some(table) = gateway.route_table() else {
        return Err(Refusal::after(RefusalReason::NoConfiguration, NOT_READY_RETRY_DELAY));
    };
    trace.revision = Some(table.revision());
    if head_size(&parts.headers) > table.limits().head_bytes {
        return Err(Refusal::new(RefusalReason::HeadTooLarge));
    }
    let Some(request_id) = head.request_id.clone() else {
        return Err(Refusal::new(RefusalReason::BadRequest));
    };
    let Some(route) = table.find_route(&head.host, parts.uri.path()) else {
        return Err(Refusal::new(RefusalReason::NoRoute));
    };
    let route = Rc::clone(route);
    trace.route = Some(route.name.clone());
    let workspace = head.key.as_ref().and_then(|key| table.find_key(key)).cloned();
    if workspace.is_none() && !route.is_open {
        return Err(Refusal::new(RefusalReason::UnknownKey));
    }
    trace.workspace = workspace.as_ref().map(|workspace| workspace.id.clone());
    refuse_if_stopping(gateway)?;
    let rank = workspace.as_ref().and_then(|workspace| workspace.rank).unwrap_or(route.rank);
    // The trace already counts this request as open.
    let others = gateway.open_requests().saturating_sub(1);
    let delays = gateway.admission().record_traffic(TrafficTotals::current(), arrival);
    if let AdmissionDecision::Refuse { retry_after } =
        gateway.admission().decide(rank, others, delays)
    {
        let delay_ms = u64::try_from(delays.longest().as_millis()).ok();
        info!(gateway.log(), "instance overloaded"; "request" => &*request_id, "rank" => rank,
            "open_requests" => others, "link_delay_ms" => delay_ms);
        return Err(Refusal::after(RefusalReason::Overloaded, retry_after));
    }
    if body.size_hint().lower() > table.limits().body_bytes as u64 {
        return Err(Refusal::new(RefusalReason::BodyTooLarge));
    }
    let deadline = head.deadline_within(arrival, route.timeout);
    let body =
        read_whole_body(body, table.limits().body_bytes, gateway.body_memory(), deadline).await?;
    // The body may have taken a while.
    refuse_if_stopping(gateway)?;
    let Some(service) = pick_service(&route) else {
        return Err(Refusal::after(RefusalReason::NoEndpoint, NOT_READY_RETRY_DELAY));
    };
    let target = origin_form(&parts.uri);
    let caller = trace.workspace.clone();
    let fingerprint = CallFingerprint::of(caller, &service, &parts.method, &target, &body);
    trace.fingerprint = Some(fingerprint.hash);
    let shared_parts = shared_parts(&service, head.prompt.as_ref());
    let part_ids: Vec<_> = shared_parts.iter().map(|part| part.id.to_string()).collect();
    trace.parts = part_ids.join(",").into();
    if let Some(refusal) = gateway.crash_refusal(&fingerprint, &shared_parts) {
        return Err(refusal);
    }
    let reservation = match (&workspace, &head.prompt) {
        (Some(workspace), Some(prompt)) => match workspace.prepaid {
            Some(prepaid) => {
                let need = prompt.max_tokens();
                let asked_at = Instant::now();
                let effort = funds_effort(gateway, &workspace.id);
                let result = gateway.funds().reserve(&workspace.id, prepaid, need).await;
                if let Err(outcome) = &result {
                    let shortage = FundsShortage { need, asked_at, effort, outcome: *outcome };
                    log_missing_funds(gateway, &workspace.id, &shortage, &trace.request_id);
                }
                let reservation = result.map_err(|outcome| match outcome {
                    ReserveOutcome::Exhausted => Refusal::new(RefusalReason::BudgetExhausted),
                    ReserveOutcome::Unavailable | ReserveOutcome::Reserved => {
                        Refusal::after(RefusalReason::FundsUnavailable, FUNDS_RETRY_DELAY)
                    }
                })?;
                trace.tokens = Some((need.0, 0));
                Some(reservation)
            }
            None => None,
        },
        _ => None,
    };
    let context = RequestContext {
        request_id,
        method: parts.method.clone(),
        target,
        fingerprint,
        shared_parts,
        headers: parts.headers.clone(),
        body,
        tokens_per_event: tokens_per_event(&table, &service),
        endpoint_limit: gateway.endpoint_limit(&table, &service),
        service,
        rank,
        workspace: workspace.map(|workspace| workspace.id.clone()),
        route,
        prefixes: head.prompt.as_ref().map(PromptProfile::prefixes).unwrap_or_default(),
        prompt: head.prompt,
        resume_after: head.resume_after,
        deadline,
    };
    Ok((context, reservation))
}

/// Refuses a request that has not been sent to an endpoint once the process is too close to its end.
pub(super) fn refuse_if_stopping<P: Platform>(gateway: &Gateway<P>) -> Result<(), Refusal> {
    match gateway.stop_phase() {
        StopPhase::Running | StopPhase::Leaving => Ok(()),
        StopPhase::Refusing => Err(Refusal::after(RefusalReason::Stopping, Duration::ZERO)),
    }
}

/// Returns the parts that a prompt shares with other requests to the service.
fn shared_parts(service: &ServiceId, prompt: Option<&PromptProfile>) -> Box<[SharedPart]> {
    let ids = prompt.into_iter().flat_map(PromptProfile::shared_parts);
    ids.map(|id| SharedPart { service: service.clone(), id }).collect()
}

/// A request that its budget did not cover.
struct FundsShortage {
    need: TokenCount,
    asked_at: Instant,
    /// What had been done to obtain tokens before the request arrived.
    effort: FundsEffort,
    outcome: ReserveOutcome,
}

/// Returns what this process has done so far to obtain tokens of a workspace.
fn funds_effort<P: Platform>(gateway: &Gateway<P>, workspace: &WorkspaceId) -> FundsEffort {
    let ledger = gateway.funds().ledger().borrow();
    ledger.account(workspace).map_or_else(FundsEffort::default, BudgetAccount::effort)
}

/// Logs where the tokens of a budget were that did not cover a request, and what was tried while the request waited.
fn log_missing_funds<P: Platform>(
    gateway: &Gateway<P>,
    workspace: &WorkspaceId,
    shortage: &FundsShortage,
    request_id: &str,
) {
    let ledger = gateway.funds().ledger().borrow();
    let Some(account) = ledger.account(workspace) else { return };
    let now = Instant::now();
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).ok();
    let tried = account.effort() - shortage.effort;
    let (others, holders) = account.others_granted(ledger.holder());
    info!(gateway.log(), "funds missing"; "request" => request_id, "workspace" => %workspace,
        "outcome" => ?shortage.outcome, "need" => shortage.need.0,
        "waited_ms" => millis(now.saturating_duration_since(shortage.asked_at)),
        "writes_applied" => tried.applied, "writes_conflicting" => tried.conflicts, "writes_failed" => tried.failures,
        "loans_asked" => tried.loans_asked, "loans_received" => tried.loans_received,
        "available" => account.available(ledger.standby_access(now)).0,
        "prepaid" => account.prepaid().0, "spent" => account.spent().0, "reserved" => account.reserved().0,
        "borrowed" => account.borrowed().0, "lent" => account.lent().0,
        "uncharged" => account.uncharged(ledger.standby_access(now)).0,
        "uncharged_at_borrowers" => account.uncharged_at_borrowers(now).0,
        "pool" => account.pool().0, "working" => account.granted().working.0, "standby" => account.granted().standby.0,
        "other_holders" => holders, "others_working" => others.working.0, "others_standby" => others.standby.0,
        "rate_per_second" => account.rate(now),
        "record_age_ms" => account.read_at().and_then(|at| millis(now.saturating_duration_since(at))));
}

/// Reads a caller's body until the deadline, and refuses one that is too large or incomplete.
async fn read_whole_body(
    mut body: Incoming,
    limit: usize,
    memory: &BodyMemory,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    match timeout(left, read_body(&mut body, limit, memory)).await {
        Ok(BodyReadOutcome::NoMemory) => {
            Err(Refusal::after(RefusalReason::Overloaded, NO_MEMORY_RETRY_DELAY))
        }
        Ok(BodyReadOutcome::Whole(bytes)) => Ok(bytes),
        Ok(BodyReadOutcome::TooLarge) => Err(Refusal::new(RefusalReason::BodyTooLarge)),
        Ok(BodyReadOutcome::Broken(_)) => Err(Refusal::new(RefusalReason::BodyBroken)),
        Err(_) => Err(Refusal::new(RefusalReason::TimedOut)),
    }
}

/// Returns the path and query of a target. A caller may also send scheme and host, which endpoints do not expect.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| uri.clone(), |target| Uri::from(target.clone()))
}

/// Picks a service at random by the weights of the route's shares.
fn pick_service(route: &RouteConfig) -> Option<ServiceId> {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return route.shares.first().map(|share| share.service.clone());
    }
    let mut remaining = rand::rng().random_range(0..total);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if remaining < weight {
            return Some(share.service.clone());
        }
        remaining -= weight;
    }
    None
}

/// Returns the maximum number of tokens in one event of a service's streams; 1 if it has no engines.
fn tokens_per_event(table: &RouteTable, service: &ServiceId) -> u64 {
    let engine = table.service(service).and_then(|service| service.engine);
    engine.map_or(1, |engine| u64::from(engine.tokens_per_event))
}
