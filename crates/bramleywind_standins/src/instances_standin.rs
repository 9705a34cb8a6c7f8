//! The platform's instance list, which lags behind.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bramleywind_macros::domain_type;
use bramleywind_store::{InstanceList, InstanceRecord};
use bramleywind_types::InstanceId;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::{
    http_server::{
        ConnectionDropped, HttpHandler, HttpServer, ResponseBody, StandinError, answer,
        down_switch, json_answer, read_json,
    },
    lagged_value::LaggedValue,
};

/// The faults of the instance list. The default is none.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceFaults {
    /// How old the list is that callers get, in milliseconds.
    pub lag_ms: u64,
    /// Calls for the list are answered with 503.
    pub outage: bool,
}

/// A running stand-in for the instance list. It stops when it is dropped.
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
    directory: Rc<InstancesHandler>,
}

impl InstancesStandin {
    /// Starts an empty list on `listen`.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(listen: SocketAddr) -> Result<Self, StandinError> {
        let list = LaggedValue::new(InstanceList::default(), Duration::ZERO);
        let state =
            DirectoryState { records: BTreeMap::new(), list, faults: InstanceFaults::default() };
        let directory = Rc::new(InstancesHandler { state: RefCell::new(state) });
        let (_, downs) = down_switch();
        let server = HttpServer::start(listen, directory.clone(), downs).await?;
        Ok(Self { server, directory })
    }

    /// Where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds or changes a record.
    pub fn put(&self, record: InstanceRecord) {
        self.directory.state.borrow_mut().put(record);
    }

    /// Removes a record.
    pub fn remove(&self, instance: &InstanceId) {
        self.directory.state.borrow_mut().remove(instance);
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: InstanceFaults) {
        self.directory.state.borrow_mut().set_faults(faults);
    }

    /// The list as it is, without the lag.
    pub fn list(&self) -> InstanceList {
        self.directory.state.borrow().current_list()
    }
}

#[derive(Debug)]
struct InstancesHandler {
    state: RefCell<DirectoryState>,
}

#[derive(Debug)]
struct DirectoryState {
    records: BTreeMap<InstanceId, InstanceRecord>,
    list: LaggedValue<InstanceList>,
    faults: InstanceFaults,
}

impl DirectoryState {
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
            return Ok(self.change(name, request).await);
        }
        Ok(match (request.method(), &*path) {
            (&Method::GET, "/v1/instances") => {
                let mut state = self.state.borrow_mut();
                if state.faults.outage {
                    answer(StatusCode::SERVICE_UNAVAILABLE, "")
                } else {
                    json_answer(StatusCode::OK, &state.list.visible())
                }
            }
            (&Method::POST, "/control") => match read_json::<InstanceFaults>(request).await {
                Ok(faults) => {
                    self.state.borrow_mut().set_faults(faults);
                    json_answer(StatusCode::OK, &faults)
                }
                Err(refusal) => refusal.into_answer(),
            },
            (&Method::GET, "/control") => json_answer(StatusCode::OK, &self.state.borrow().faults),
            _ => answer(StatusCode::NOT_FOUND, ""),
        })
    }
}

impl InstancesHandler {
    async fn change(&self, name: &str, request: Request<Incoming>) -> Response<ResponseBody> {
        let Ok(instance) = name.parse::<InstanceId>() else {
            return answer(StatusCode::BAD_REQUEST, "the instance's name is not valid\n");
        };
        match *request.method() {
            Method::PUT => match read_json::<InstanceRecord>(request).await {
                Ok(record) if record.instance != instance => answer(
                    StatusCode::BAD_REQUEST,
                    "the record names another instance than the path\n",
                ),
                Ok(record) => {
                    self.state.borrow_mut().put(record);
                    answer(StatusCode::OK, "")
                }
                Err(refusal) => refusal.into_answer(),
            },
            Method::DELETE => {
                self.state.borrow_mut().remove(&instance);
                answer(StatusCode::OK, "")
            }
            _ => answer(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }
}
