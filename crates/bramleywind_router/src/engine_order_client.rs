use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_orders::{
    EngineClient, EngineOrder, InventoryOutcome, OrderOutcome, SendWindow, WantedEngine,
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;

use crate::{AttemptFailure, CallTimeouts, DeclineRule, call_endpoint, call_endpoint_before};

/// The largest inventory accepted from an engine, in bytes.
const MAX_INVENTORY_BYTES: usize = 256 * 1024;

/// Reads inventories from engines and sends them orders over HTTP, with a new connection for each call.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineOrderClient;

impl EngineClient for EngineOrderClient {
    async fn read_inventory(&self, engine: &WantedEngine, deadline: Instant) -> InventoryOutcome {
        let request = order_request(Method::GET, engine.address, Bytes::new());
        let times = call_times_until(deadline);
        let call = call_endpoint(engine.address, request, times, DeclineRule::LeavingOnly).await;
        let Ok(answer) = call else { return InventoryOutcome::Unavailable };
        if answer.head.status != StatusCode::OK {
            return InventoryOutcome::Unavailable;
        }
        let body = answer.collect(times.first_byte, MAX_INVENTORY_BYTES).await.ok();
        let inventory = body.and_then(|body| serde_json::from_slice(&body).ok());
        inventory.map_or(InventoryOutcome::Unavailable, InventoryOutcome::Found)
    }

    async fn send_order(
        &self,
        engine: &WantedEngine,
        order: &EngineOrder,
        window: SendWindow,
    ) -> OrderOutcome {
        let Ok(body) = serde_json::to_vec(order) else { return OrderOutcome::NotSent };
        let request = order_request(Method::POST, engine.address, body.into());
        let call = call_endpoint_before(
            engine.address,
            request,
            call_times_until(window.deadline),
            DeclineRule::LeavingOnly,
            window.latest_write,
        );
        match call.await {
            Ok(answer) if answer.head.status.is_success() => OrderOutcome::Accepted,
            Ok(answer) if answer.head.status == StatusCode::CONFLICT => OrderOutcome::Fenced,
            Ok(answer) if answer.head.status.is_client_error() => OrderOutcome::Refused,
            // An engine may return a server error after it began to carry out the order.
            Ok(_) => OrderOutcome::Unknown,
            Err(failed) => match failed.failure {
                AttemptFailure::NotConnected => OrderOutcome::NotSent,
                AttemptFailure::Declined => OrderOutcome::Refused,
                _ => OrderOutcome::Unknown,
            },
        }
    }
}

/// Returns timeouts that end the call by `deadline`, when the sender of orders drops it.
fn call_times_until(deadline: Instant) -> CallTimeouts {
    let remaining =
        deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    CallTimeouts { connect: remaining, first_byte: remaining }
}

fn order_request(method: Method, address: SocketAddr, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from_static("/v1/orders");
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
