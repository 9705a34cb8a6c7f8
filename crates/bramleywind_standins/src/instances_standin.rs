//! The platform's instance list, which may lag behind the instances' real state.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bramleywind_macros::domain_type;
use bramleywind_store::{InstanceList, InstanceRecord};
use bramleywind_types::InstanceId;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::{
    http_server::{
        ConnectionDropped, HttpHandler, HttpServer, ResponseBody, StandinError, json_response,
        outage_channel, plain_response, read_json,
    },
    lagged_value::LaggedValue,
};

/// The injected faults of the instance list; none by default.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceFaults {
    /// The age of the list that callers receive, in milliseconds.
    pub lag_ms: u64,
    /// Requests for the list fail with status 503.
    pub outage: bool,
}

/// A running stand-in for the instance list. Dropping it stops it.
///
/// ```
/// use bramleywind_standins::InstancesStandin;
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let standin = InstancesStandin::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
///     assert!(standin.list().instances.is_empty());
/// });
/// ```
#[derive(Debug)]
pub struct InstancesStandin {
    server: HttpServer,
    handler: Rc<InstancesHandler>,
}

impl InstancesStandin {
    /// Starts a stand-in with an empty list on `listen`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self, StandinError> {
        let list = LaggedValue::new(InstanceList::default(), Duration::ZERO);
        let state =
            InstancesState { records: BTreeMap::new(), list, faults: InstanceFaults::default() };
        let handler = Rc::new(InstancesHandler { state: RefCell::new(state) });
        let (_, outage_receiver) = outage_channel();
        let server = HttpServer::start(listen, handler.clone(), outage_receiver).await?;
        Ok(Self { server, handler })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a record, or replaces the record of the same instance.
    pub fn put(&self, record: InstanceRecord) {
        self.handler.state.borrow_mut().put(record);
    }

    /// Removes the record of an instance.
    pub fn remove(&self, instance: &InstanceId) {
        self.handler.state.borrow_mut().remove(instance);
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: InstanceFaults) {
        self.handler.state.borrow_mut().set_faults(faults);
    }

    /// Returns the current list, without the lag.
    pub fn list(&self) -> InstanceList {
        self.handler.state.borrow().current_list()
    }
}

#[derive(Debug)]
struct InstancesHandler {
    state: RefCell<InstancesState>,
}

#[derive(Debug)]
struct InstancesState {
    records: BTreeMap<InstanceId, InstanceRecord>,
    list: LaggedValue<InstanceList>,
    faults: InstanceFaults,
}

impl InstancesState {
    fn put(&mut self, record: InstanceRecord) {
        self.records.insert(record.instance.clone(), record);
        self.list.set(self.current_list());
    }

    fn remove(&mut self, instance: &InstanceId) {
        self.records.remove(instance);
        self.list.set(self.current_list());
    }

    fn set_faults(&mut self, faults: InstanceFaults) {
        self.faults = faults;
        self.list.set_lag(Duration::from_millis(faults.lag_ms));
    }

    fn current_list(&self) -> InstanceList {
        InstanceList { instances: self.records.values().cloned().collect() }
    }
}

impl HttpHandler for InstancesHandler {
    type Body = ResponseBody;

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionDropped> {
        let path: Box<str> = request.uri().path().into();
        if let Some(name) = path.strip_prefix("/control/instances/") {
            return Ok(self.handle_record(name, request).await);
        }
        Ok(match (request.method(), &*path) {
            (&Method::GET, "/v1/instances") => {
                let mut state = self.state.borrow_mut();
                if state.faults.outage {
                    plain_response(StatusCode::SERVICE_UNAVAILABLE, "")
                } else {
                    json_response(StatusCode::OK, &state.list.visible())
                }
            }
            (&Method::POST, "/control") => match read_json::<InstanceFaults>(request).await {
                Ok(faults) => {
                    self.state.borrow_mut().set_faults(faults);
                    json_response(StatusCode::OK, &faults)
                }
                Err(error) => error.into_response(),
            },
            (&Method::GET, "/control") => {
                json_response(StatusCode::OK, &self.state.borrow().faults)
            }
            _ => plain_response(StatusCode::NOT_FOUND, ""),
        })
    }
}

impl InstancesHandler {
    async fn handle_record(
        &self,
        name: &str,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let Ok(instance) = name.parse::<InstanceId>() else {
            return plain_response(
                StatusCode::BAD_REQUEST,
                "the instance name in the path is not valid\n",
            );
        };
        match *request.method() {
            Method::PUT => match read_json::<InstanceRecord>(request).await {
                Ok(record) if record.instance != instance => plain_response(
                    StatusCode::BAD_REQUEST,
                    "the record and the path name different instances\n",
                ),
                Ok(record) => {
                    self.state.borrow_mut().put(record);
                    plain_response(StatusCode::OK, "")
                }
                Err(error) => error.into_response(),
            },
            Method::DELETE => {
                self.state.borrow_mut().remove(&instance);
                plain_response(StatusCode::OK, "")
            }
            _ => plain_response(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }
}
