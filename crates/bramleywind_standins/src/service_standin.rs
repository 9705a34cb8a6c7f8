//! A plain service that counts its executions, to prove that calls that must not be repeated ran only once.

mod service_reports;

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
pub use service_reports::{ServiceAnswer, ServiceExecutions, ServiceFaults};

use crate::{
    LEAVING_HEADER,
    http_server::{
        ConnectionDropped, HttpHandler, HttpServer, OutageSender, ResponseBody, StandinError,
        json_response, outage_channel, plain_response, read_body, read_json,
    },
};

/// The header that carries the idempotency key of a call.
const KEY_HEADER: &str = "idempotency-key";

/// The default name of the header that crashes the service.
pub const CRASH_HEADER: &str = "x-standin-crash";

/// The options of a stand-in for a plain service.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// IP address and port to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Name of the header that crashes the service after it has executed the call.
    pub crash_header: Box<str>,
    /// Time for which the service refuses connections after a crash.
    pub down_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen, crash_header: CRASH_HEADER.into(), down_time: Duration::from_secs(1) }
    }
}

/// A running stand-in for a plain service. Dropping it stops it.
///
/// ```
/// use bramleywind_standins::{ServiceOptions, ServiceStandin};
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
///     assert!(service.executions().executions.is_empty());
/// });
/// ```
#[derive(Debug)]
pub struct ServiceStandin {
    server: HttpServer,
    handler: Rc<ServiceHandler>,
}

impl ServiceStandin {
    /// Starts a stand-in with the given options.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address cannot be bound.
    pub async fn start(options: ServiceOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let (outage_sender, outage_receiver) = outage_channel();
        let handler = Rc::new(ServiceHandler { options, outage_sender, state: RefCell::default() });
        let server = HttpServer::start(listen, handler.clone(), outage_receiver).await?;
        Ok(Self { server, handler })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.handler.state.borrow_mut().faults = faults;
    }

    /// Returns the number of executions by idempotency key.
    pub fn executions(&self) -> ServiceExecutions {
        self.handler.state.borrow().executions.clone()
    }
}

#[derive(Debug)]
struct ServiceHandler {
    options: ServiceOptions,
    outage_sender: OutageSender,
    state: RefCell<ServiceState>,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    executions: ServiceExecutions,
}

impl ServiceState {
    /// Counts an execution and returns the number of executions with the same key, this one included.
    fn count_execution(&mut self, key: Option<&str>) -> u64 {
        let count = match key {
            Some(key) => self.executions.executions.entry(key.into()).or_default(),
            None => &mut self.executions.without_key,
        };
        *count += 1;
        *count
    }
}

/// Decrements the counter of a fault; returns false if it was already zero.
fn consume_fault(counter: &mut u32) -> bool {
    let has_remaining = *counter > 0;
    *counter -= u32::from(has_remaining);
    has_remaining
}

impl HttpHandler for ServiceHandler {
    type Body = ResponseBody;

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionDropped> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => Ok(match read_json::<ServiceFaults>(request).await {
                Ok(faults) => {
                    self.state.borrow_mut().faults = faults;
                    json_response(StatusCode::OK, &faults)
                }
                Err(error) => error.into_response(),
            }),
            (&Method::GET, "/control/executions") => {
                Ok(json_response(StatusCode::OK, &self.state.borrow().executions))
            }
            _ => self.execute(request).await,
        }
    }
}

impl ServiceHandler {
    async fn execute(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionDropped> {
        let crashes = request.headers().contains_key(&*self.options.crash_header);
        let key = request.headers().get(KEY_HEADER).and_then(|value| value.to_str().ok());
        let key: Option<Box<str>> = key.map(Into::into);
        let method = request.method().as_str().into();
        let path = request.uri().path().into();
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(error) => return Ok(error.into_response()),
        };
        let (execution, delay, is_lost, is_failed) = {
            let mut state = self.state.borrow_mut();
            if state.faults.leaving {
                let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
                response.headers_mut().insert(LEAVING_HEADER, HeaderValue::from_static("true"));
                return Ok(response);
            }
            if consume_fault(&mut state.faults.refuse_next) {
                return Ok(plain_response(StatusCode::SERVICE_UNAVAILABLE, ""));
            }
            let execution = state.count_execution(key.as_deref());
            let delay = Duration::from_millis(state.faults.delay_ms);
            let is_lost = consume_fault(&mut state.faults.lose_next);
            (execution, delay, is_lost, !is_lost && consume_fault(&mut state.faults.fail_next))
        };
        if crashes {
            self.outage_sender.start_outage(Instant::now() + self.options.down_time);
            return Err(ConnectionDropped);
        }
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        if is_lost {
            return Err(ConnectionDropped);
        }
        if is_failed {
            return Ok(plain_response(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        let body_bytes = body.len() as u64;
        Ok(json_response(
            StatusCode::OK,
            &ServiceAnswer { method, path, key, execution, body_bytes },
        ))
    }
}
