//! The platform's key-value store over HTTP.

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
    ConnectionDropped, HttpHandler, HttpServer, ResponseBody, StandinError, answer, down_switch,
    json_answer, parse_query, read_body, read_json,
};

/// A running stand-in for the key-value store. It stops when it is dropped.
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
    /// Starts an empty store on `listen`.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(listen: SocketAddr) -> Result<Self, StandinError> {
        Self::start_with(listen, MemoryStore::new()).await
    }

    /// Starts a store with contents, for example those of one that was stopped.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start_with(listen: SocketAddr, store: MemoryStore) -> Result<Self, StandinError> {
        let handler = StoreHandler { store: store.clone(), lease_lengths: RefCell::default() };
        let (_, downs) = down_switch();
        let server = HttpServer::start(listen, Rc::new(handler), downs).await?;
        Ok(Self { server, store })
    }

    /// Where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The store behind it, for faults, counters and checks.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }
}

struct StoreHandler {
    store: MemoryStore,
    /// The length of each lease, since a renewal need not say it. The protocol's leases are few.
    lease_lengths: RefCell<BTreeMap<Box<str>, Duration>>,
}

type Answer = Result<Response<ResponseBody>, ConnectionDropped>;

impl HttpHandler for StoreHandler {
    type Body = ResponseBody;

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let path: Box<str> = request.uri().path().into();
        match (request.method(), &*path) {
            (&Method::POST, "/control") => Ok(match read_json::<StoreFaults>(request).await {
                Ok(faults) => {
                    self.store.set_faults(faults);
                    json_answer(StatusCode::OK, &faults)
                }
                Err(refusal) => refusal.into_answer(),
            }),
            (&Method::GET, "/control") => Ok(json_answer(StatusCode::OK, &self.store.counters())),
            (&Method::GET, "/v1/kv") => Ok(self.list(&request).await),
            (&Method::POST, "/v1/leases") => Ok(self.acquire_lease(&request).await),
            (method, path) => {
                if let Some(key) = path.strip_prefix("/v1/kv/") {
                    let key = StoreKey::from_text(key);
                    return match *method {
                        Method::GET => Ok(self.read(&key, &request).await),
                        Method::PUT => self.write(key, request).await,
                        _ => Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "")),
                    };
                }
                let Some(rest) = path.strip_prefix("/v1/leases/") else {
                    return Ok(answer(StatusCode::BAD_REQUEST, ""));
                };
                Ok(match (method, rest.strip_suffix("/renew")) {
                    (&Method::POST, Some(id)) => self.renew_lease(id, &request).await,
                    (&Method::DELETE, None) => {
                        self.lease_lengths.borrow_mut().remove(rest);
                        self.store.release_lease(named_lease(rest)).await;
                        answer(StatusCode::OK, "")
                    }
                    _ => answer(StatusCode::METHOD_NOT_ALLOWED, ""),
                })
            }
        }
    }
}

impl StoreHandler {
    async fn read(&self, key: &StoreKey, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: ReadQuery = match parse_query(request) {
            Ok(query) => query,
            Err(refusal) => return refusal.into_answer(),
        };
        let Some(after) = query.after else {
            return match self.store.read(key).await {
                ReadOutcome::Found(found) => value_answer(found),
                ReadOutcome::Missing => answer(StatusCode::NOT_FOUND, ""),
                ReadOutcome::Unavailable(reason) => unavailable_answer(reason),
            };
        };
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
        match self.store.watch(key, after, deadline).await {
            WatchOutcome::Changed(found) => value_answer(found),
            WatchOutcome::Unchanged => answer(StatusCode::NOT_MODIFIED, ""),
            WatchOutcome::Unavailable(reason) => unavailable_answer(reason),
        }
    }

    async fn write(&self, key: StoreKey, request: Request<Incoming>) -> Answer {
        let query: WriteQuery = match parse_query(&request) {
            Ok(query) => query,
            Err(refusal) => return Ok(refusal.into_answer()),
        };
        let value = match read_body(request).await {
            Ok(body) => body.to_vec(),
            Err(refusal) => return Ok(refusal.into_answer()),
        };
        // Runs apart from the connection: a write takes effect even if its writer gives up in the meantime.
        let (sender, receiver) = oneshot::channel();
        let (store, written_key) = (self.store.clone(), key.clone());
        compio::runtime::spawn(async move {
            let outcome = store.write(&written_key, value, query.expect).await;
            // The receiver is gone if the writer gave up.
            let _ = sender.send(outcome);
        })
        .detach();
        match receiver.await.unwrap_or(WriteOutcome::Unknown) {
            WriteOutcome::Applied(version) => Ok(version_answer(StatusCode::OK, version)),
            WriteOutcome::Conflict => {
                let current =
                    self.store.peek(&key).map_or(StoreVersion::MISSING, |found| found.version);
                Ok(version_answer(StatusCode::CONFLICT, current))
            }
            WriteOutcome::NotApplied(NotAppliedReason::RateLimited) => {
                Ok(unavailable_answer(UnavailableReason::RateLimited))
            }
            WriteOutcome::NotApplied(NotAppliedReason::Outage) => {
                Ok(unavailable_answer(UnavailableReason::Outage))
            }
            WriteOutcome::NotApplied(NotAppliedReason::TooLarge) => {
                Ok(answer(StatusCode::PAYLOAD_TOO_LARGE, ""))
            }
            WriteOutcome::Unknown => Err(ConnectionDropped),
        }
    }

    async fn list(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: ListQuery = match parse_query(request) {
            Ok(query) => query,
            Err(refusal) => return refusal.into_answer(),
        };
        match self.store.list(&query.prefix).await {
            ListOutcome::Found(found) => {
                let encode = |keyed: bramleywind_store::KeyedValue| ListEntry {
                    key: keyed.key.as_str().into(),
                    version: keyed.entry.version,
                    value: BASE64_STANDARD.encode(keyed.entry.value).into(),
                };
                let entries: Vec<ListEntry> = found.into_iter().map(encode).collect();
                json_answer(StatusCode::OK, &entries)
            }
            ListOutcome::Unavailable(reason) => unavailable_answer(reason),
        }
    }

    async fn acquire_lease(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: LeaseQuery = match parse_query(request) {
            Ok(query) => query,
            Err(refusal) => return refusal.into_answer(),
        };
        let length = Duration::from_millis(query.ttl_ms);
        let key = StoreKey::from_text(query.key);
        match self.store.acquire_lease(&key, &query.holder, length).await {
            LeaseOutcome::Acquired(lease) => {
                self.lease_lengths.borrow_mut().insert(lease.id.clone(), length);
                let grant = LeaseGrant { lease: lease.id, fencing: lease.fencing };
                json_answer(StatusCode::OK, &grant)
            }
            LeaseOutcome::Held => answer(StatusCode::CONFLICT, ""),
            LeaseOutcome::Unavailable(reason) => unavailable_answer(reason),
        }
    }

    async fn renew_lease(&self, id: &str, request: &Request<Incoming>) -> Response<ResponseBody> {
        let query: RenewQuery = match parse_query(request) {
            Ok(query) => query,
            Err(refusal) => return refusal.into_answer(),
        };
        let known = self.lease_lengths.borrow().get(id).copied().unwrap_or_default();
        let length = query.ttl_ms.map_or(known, Duration::from_millis);
        match self.store.renew_lease(&named_lease(id), length).await {
            RenewOutcome::Renewed(_) => answer(StatusCode::OK, ""),
            RenewOutcome::Lost => answer(StatusCode::NOT_FOUND, ""),
            RenewOutcome::Unavailable(reason) => unavailable_answer(reason),
        }
    }
}

/// A lease of which only the id is known, which is all that renewing and releasing need.
fn named_lease(id: &str) -> Lease {
    Lease { id: id.into(), fencing: FencingToken::default(), deadline: Instant::now() }
}

fn version_answer(status: StatusCode, version: StoreVersion) -> Response<ResponseBody> {
    let mut response = answer(status, "");
    response.headers_mut().insert(VERSION_HEADER, version.0.into());
    response
}

fn value_answer(found: VersionedValue) -> Response<ResponseBody> {
    let mut response = answer(StatusCode::OK, found.value);
    response.headers_mut().insert(VERSION_HEADER, found.version.0.into());
    response
}

fn unavailable_answer(reason: UnavailableReason) -> Response<ResponseBody> {
    match reason {
        UnavailableReason::RateLimited => answer(StatusCode::TOO_MANY_REQUESTS, ""),
        _ => answer(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}
