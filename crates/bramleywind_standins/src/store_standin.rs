//! The platform's key-value store, served over HTTP.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use bramleywind_store::{
    Lease, LeaseOutcome, ListOutcome, MemoryStore, NotAppliedReason, ReadOutcome, RenewOutcome,
    Store as _, StoreFaults, StoreKey, StoreVersion, UnavailableReason, VersionedValue,
    WatchOutcome, WriteOutcome,
    wire::{
        LeaseGrant, LeaseQuery, ListEntry, ListQuery, ReadQuery, RenewQuery, VERSION_HEADER,
        WriteQuery,
    },
};
use bramleywind_types::FencingToken;
use futures_channel::oneshot;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::http_server::{
    ConnectionDropped, HttpHandler, HttpServer, ResponseBody, StandinError, json_response,
    outage_channel, parse_query, plain_response, read_body, read_json,
};

/// A running stand-in for the key-value store. Dropping it stops it.
///
/// ```
/// use bramleywind_standins::StoreStandin;
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let standin = StoreStandin::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
///     assert_ne!(standin.address().port(), 0);
/// });
/// ```
#[derive(Debug)]
pub struct StoreStandin {
    server: HttpServer,
    store: MemoryStore,
}

impl StoreStandin {
    /// Starts a stand-in with an empty store on `listen`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self, StandinError> {
        Self::start_with(listen, MemoryStore::new()).await
    }

    /// Starts a stand-in that serves an existing store, for example that of a stand-in that was stopped.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address cannot be bound.
    pub async fn start_with(listen: SocketAddr, store: MemoryStore) -> Result<Self, StandinError> {
        let handler = StoreHandler { store: store.clone(), lease_ttls: RefCell::default() };
        let (_, outage_receiver) = outage_channel();
        let server = HttpServer::start(listen, Rc::new(handler), outage_receiver).await?;
        Ok(Self { server, store })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the underlying store, to inject faults, read counters and check contents.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }
}

struct StoreHandler {
    store: MemoryStore,
    /// The time to live of each lease, because a renewal may omit it. The protocol uses only a few leases.
    lease_ttls: RefCell<BTreeMap<Box<str>, Duration>>,
}

type HandlerResult = Result<Response<ResponseBody>, ConnectionDropped>;

impl HttpHandler for StoreHandler {
    type Body = ResponseBody;

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> HandlerResult {
        let path: Box<str> = request.uri().path().into();
        match (request.method(), &*path) {
            (&Method::POST, "/control") => Ok(match read_json::<StoreFaults>(request).await {
                Ok(faults) => {
                    self.store.set_faults(faults);
                    json_response(StatusCode::OK, &faults)
                }
                Err(error) => error.into_response(),
            }),
            (&Method::GET, "/control") => Ok(json_response(StatusCode::OK, &self.store.counters())),
            (&Method::GET, "/v1/kv") => Ok(self.list(&request).await),
            (&Method::POST, "/v1/leases") => Ok(self.acquire_lease(&request).await),
            (method, path) => {
                if let Some(key) = path.strip_prefix("/v1/kv/") {
                    let key = StoreKey::from_text(key);
                    return match *method {
                        Method::GET => Ok(self.read(&key, &request).await),
                        Method::PUT => self.write(key, request).await,
                        _ => Ok(plain_response(StatusCode::METHOD_NOT_ALLOWED, "")),
                    };
                }
                let Some(rest) = path.strip_prefix("/v1/leases/") else {
                    return Ok(plain_response(StatusCode::BAD_REQUEST, ""));
                };
                Ok(match (method, rest.strip_suffix("/renew")) {
                    (&Method::POST, Some(id)) => self.renew_lease(id, &request).await,
                    (&Method::DELETE, None) => {
                        self.lease_ttls.borrow_mut().remove(rest);
                        self.store.release_lease(lease_with_id(rest)).await;
                        plain_response(StatusCode::OK, "")
                    }
                    _ => plain_response(StatusCode::METHOD_NOT_ALLOWED, ""),
                })
            }
        }
    }
}

impl StoreHandler {
    async fn read(&self, key: &StoreKey, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: ReadQuery = match parse_query(request) {
            Ok(query) => query,
            Err(error) => return error.into_response(),
        };
        let Some(after) = query.after else {
            return match self.store.read(key).await {
                ReadOutcome::Found(found) => value_response(found),
                ReadOutcome::Missing => plain_response(StatusCode::NOT_FOUND, ""),
                ReadOutcome::Unavailable(reason) => unavailable_response(reason),
            };
        };
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
        match self.store.watch(key, after, deadline).await {
            WatchOutcome::Changed(found) => value_response(found),
            WatchOutcome::Unchanged => plain_response(StatusCode::NOT_MODIFIED, ""),
            WatchOutcome::Unavailable(reason) => unavailable_response(reason),
        }
    }

    async fn write(&self, key: StoreKey, request: Request<Incoming>) -> HandlerResult {
        let query: WriteQuery = match parse_query(&request) {
            Ok(query) => query,
            Err(error) => return Ok(error.into_response()),
        };
        let value = match read_body(request).await {
            Ok(body) => body.to_vec(),
            Err(error) => return Ok(error.into_response()),
        };
        // The write runs in its own task, so that it takes effect even if the client disconnects meanwhile.
        let (sender, receiver) = oneshot::channel();
        let (store, written_key) = (self.store.clone(), key.clone());
        compio::runtime::spawn(async move {
            let outcome = store.write(&written_key, value, query.expect).await;
            // The receiver is dropped if the client disconnected.
            let _ = sender.send(outcome);
        })
        .detach();
        match receiver.await.unwrap_or(WriteOutcome::Unknown) {
            WriteOutcome::Applied(version) => Ok(version_response(StatusCode::OK, version)),
            WriteOutcome::Conflict => {
                let current =
                    self.store.peek(&key).map_or(StoreVersion::MISSING, |found| found.version);
                Ok(version_response(StatusCode::CONFLICT, current))
            }
            WriteOutcome::NotApplied(NotAppliedReason::RateLimited) => {
                Ok(unavailable_response(UnavailableReason::RateLimited))
            }
            WriteOutcome::NotApplied(NotAppliedReason::Outage) => {
                Ok(unavailable_response(UnavailableReason::Outage))
            }
            WriteOutcome::NotApplied(NotAppliedReason::TooLarge) => {
                Ok(plain_response(StatusCode::PAYLOAD_TOO_LARGE, ""))
            }
            WriteOutcome::Unknown => Err(ConnectionDropped),
        }
    }

    async fn list(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: ListQuery = match parse_query(request) {
            Ok(query) => query,
            Err(error) => return error.into_response(),
        };
        match self.store.list(&query.prefix).await {
            ListOutcome::Found(found) => {
                let encode = |keyed: bramleywind_store::KeyedValue| ListEntry {
                    key: keyed.key.as_str().into(),
                    version: keyed.entry.version,
                    value: BASE64_STANDARD.encode(keyed.entry.value).into(),
                };
                let entries: Vec<ListEntry> = found.into_iter().map(encode).collect();
                json_response(StatusCode::OK, &entries)
            }
            ListOutcome::Unavailable(reason) => unavailable_response(reason),
        }
    }

    async fn acquire_lease(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: LeaseQuery = match parse_query(request) {
            Ok(query) => query,
            Err(error) => return error.into_response(),
        };
        let ttl = Duration::from_millis(query.ttl_ms);
        let key = StoreKey::from_text(query.key);
        match self.store.acquire_lease(&key, &query.holder, ttl).await {
            LeaseOutcome::Acquired(lease) => {
                self.lease_ttls.borrow_mut().insert(lease.id.clone(), ttl);
                let grant = LeaseGrant { lease: lease.id, fencing: lease.fencing };
                json_response(StatusCode::OK, &grant)
            }
            LeaseOutcome::Held => plain_response(StatusCode::CONFLICT, ""),
            LeaseOutcome::Unavailable(reason) => unavailable_response(reason),
        }
    }

    async fn renew_lease(&self, id: &str, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: RenewQuery = match parse_query(request) {
            Ok(query) => query,
            Err(error) => return error.into_response(),
        };
        let stored_ttl = self.lease_ttls.borrow().get(id).copied().unwrap_or_default();
        let ttl = query.ttl_ms.map_or(stored_ttl, Duration::from_millis);
        match self.store.renew_lease(&lease_with_id(id), ttl).await {
            RenewOutcome::Renewed(_) => plain_response(StatusCode::OK, ""),
            RenewOutcome::Lost => plain_response(StatusCode::NOT_FOUND, ""),
            RenewOutcome::Unavailable(reason) => unavailable_response(reason),
        }
    }
}

/// Builds a lease of which only the id is known; renewals and releases need no more.
fn lease_with_id(id: &str) -> Lease {
    Lease { id: id.into(), fencing: FencingToken::default(), deadline: Instant::now() }
}

fn version_response(status: StatusCode, version: StoreVersion) -> Response<ResponseBody> {
    let mut response = plain_response(status, "");
    response.headers_mut().insert(VERSION_HEADER, version.0.into());
    response
}

fn value_response(found: VersionedValue) -> Response<ResponseBody> {
    let mut response = plain_response(StatusCode::OK, found.value);
    response.headers_mut().insert(VERSION_HEADER, found.version.0.into());
    response
}

fn unavailable_response(reason: UnavailableReason) -> Response<ResponseBody> {
    match reason {
        UnavailableReason::RateLimited => plain_response(StatusCode::TOO_MANY_REQUESTS, ""),
        _ => plain_response(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}
