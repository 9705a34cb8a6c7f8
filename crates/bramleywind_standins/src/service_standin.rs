//! A plain service whose calls can be counted, to prove that one that must not be repeated was not.

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
        ConnectionDropped, DownSwitch, HttpHandler, HttpServer, ResponseBody, StandinError, answer,
        down_switch, json_answer, read_body, read_json,
    },
};

/// The header that carries a call's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// The header that crashes a service, unless its options name another.
pub const CRASH_HEADER: &str = "x-standin-crash";

/// How a stand-in for a plain service is built.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// IP address and port to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// A call with this header crashes the service, after it was executed.
    pub crash_header: Box<str>,
    /// How long the service refuses connections after a crash.
    pub down_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen, crash_header: CRASH_HEADER.into(), down_time: Duration::from_secs(1) }
    }
}

/// A running stand-in for a plain service. It stops when it is dropped.
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
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(options: ServiceOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let (down_switch, downs) = down_switch();
        let handler = Rc::new(ServiceHandler { options, down_switch, state: RefCell::default() });
        let server = HttpServer::start(listen, handler.clone(), downs).await?;
        Ok(Self { server, handler })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.handler.state.borrow_mut().faults = faults;
    }

    /// How often calls were executed.
    pub fn executions(&self) -> ServiceExecutions {
        self.handler.state.borrow().executions.clone()
    }
}

#[derive(Debug)]
struct ServiceHandler {
    options: ServiceOptions,
    down_switch: DownSwitch,
    state: RefCell<ServiceState>,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    executions: ServiceExecutions,
}

impl ServiceState {
    fn count_execution(&mut self, key: Option<&str>) -> u64 {
        let count = match key {
            Some(key) => self.executions.executions.entry(key.into()).or_default(),
            None => &mut self.executions.without_key,
        };
        *count += 1;
        *count
    }
}

/// Takes one from a fault's counter; false if none is left.
fn take_one(counter: &mut u32) -> bool {
    let is_left = *counter > 0;
    *counter -= u32::from(is_left);
    is_left
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
                    json_answer(StatusCode::OK, &faults)
                }
                Err(refusal) => refusal.into_answer(),
            }),
            (&Method::GET, "/control/executions") => {
                Ok(json_answer(StatusCode::OK, &self.state.borrow().executions))
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
            Err(refusal) => return Ok(refusal.into_answer()),
        };
        let (execution, delay, is_lost, is_failed) = {
            let mut state = self.state.borrow_mut();
            if state.faults.leaving {
                let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "");
                response.headers_mut().insert(LEAVING_HEADER, HeaderValue::from_static("true"));
                return Ok(response);
            }
            if take_one(&mut state.faults.refuse_next) {
                return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, ""));
            }
            let execution = state.count_execution(key.as_deref());
            let delay = Duration::from_millis(state.faults.delay_ms);
            let is_lost = take_one(&mut state.faults.lose_next);
            (execution, delay, is_lost, !is_lost && take_one(&mut state.faults.fail_next))
        };
        if crashes {
            self.down_switch.go_down_until(Instant::now() + self.options.down_time);
            return Err(ConnectionDropped);
        }
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        if is_lost {
            return Err(ConnectionDropped);
        }
        if is_failed {
            return Ok(answer(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        let body_bytes = body.len() as u64;
        Ok(json_answer(StatusCode::OK, &ServiceAnswer { method, path, key, execution, body_bytes }))
    }
}
