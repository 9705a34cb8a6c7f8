//! The HTTP client of the platform's key-value store.
//!
//! Each HTTP response or connection error maps to exactly one outcome. Only a refusal by the store or a failed
//! connection attempt proves that nothing was written; the outcome of any other failed write is unknown.

pub(crate) mod http_client;
pub mod wire;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use http::{HeaderMap, Method, StatusCode};
use serde::Serialize;

pub use self::http_client::ClientError;
use self::{
    http_client::{HttpClient, HttpResponse},
    wire::{
        LeaseGrant, LeaseQuery, ListEntry, ListQuery, ReadQuery, RenewQuery, VERSION_HEADER,
        WriteQuery,
    },
};
use crate::{
    KeyedValue, Lease, LeaseOutcome, ListOutcome, NotAppliedReason, ReadOutcome, RenewOutcome,
    Store, StoreKey, StoreVersion, UnavailableReason, VersionedValue, WatchOutcome, WriteOutcome,
};

/// A client of the store over HTTP. Clones share their connections.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_store::HttpStore;
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let address = "127.0.0.1:7001".parse().unwrap();
///     let store = HttpStore::new(address, Duration::from_millis(500));
///     assert!(store.is_ok());
/// });
/// ```
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: HttpClient,
}

impl HttpStore {
    /// Creates a client of the store at `address`. Each call ends within `call_timeout`, and a watch ends within
    /// `call_timeout` after its own deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built. No connection is made yet.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Result<Self, ClientError> {
        Ok(Self { client: HttpClient::new(address, call_timeout)? })
    }

    fn kv_path<Q: Serialize>(key: &StoreKey, query: &Q) -> String {
        format!("/v1/kv/{key}?{}", encode_query(query))
    }
}

/// Encodes a query string. Encoding cannot fail, because the queries are flat structs of numbers and strings.
fn encode_query<Q: Serialize>(query: &Q) -> String {
    serde_urlencoded::to_string(query).unwrap_or_default()
}

fn to_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn parse_version(headers: &HeaderMap) -> Option<StoreVersion> {
    headers.get(VERSION_HEADER)?.to_str().ok()?.parse().ok()
}

/// Maps an HTTP status without a result to the reason why the store is unavailable. Not for writes, which may
/// have been applied.
fn unavailable_reason(status: StatusCode) -> UnavailableReason {
    match status {
        StatusCode::TOO_MANY_REQUESTS => UnavailableReason::RateLimited,
        status if status.is_server_error() => UnavailableReason::Outage,
        _ => UnavailableReason::Malformed,
    }
}

fn parse_value(response: HttpResponse) -> Result<VersionedValue, UnavailableReason> {
    let version = parse_version(&response.headers).ok_or(UnavailableReason::Malformed)?;
    Ok(VersionedValue { value: response.body.to_vec(), version })
}

fn parse_list(body: &[u8]) -> Option<Vec<KeyedValue>> {
    let entries: Vec<ListEntry> = serde_json::from_slice(body).ok()?;
    let decode = |entry: ListEntry| {
        let value = BASE64_STANDARD.decode(&*entry.value).ok()?;
        let key = StoreKey::from_text(entry.key);
        Some(KeyedValue { key, entry: VersionedValue { value, version: entry.version } })
    };
    entries.into_iter().map(decode).collect()
}

impl Store for HttpStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        let path = format!("/v1/kv/{key}");
        match self.client.send_request(Method::GET, &path, None, self.client.deadline()).await {
            Ok(response) => match response.status {
                StatusCode::OK => {
                    parse_value(response).map_or_else(ReadOutcome::Unavailable, ReadOutcome::Found)
                }
                StatusCode::NOT_FOUND => ReadOutcome::Missing,
                status => ReadOutcome::Unavailable(unavailable_reason(status)),
            },
            Err(failure) => ReadOutcome::Unavailable(failure.into()),
        }
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        let path = Self::kv_path(key, &WriteQuery { expect: expected });
        let deadline = self.client.deadline();
        match self.client.send_request(Method::PUT, &path, Some(value), deadline).await {
            Ok(response) => match response.status {
                // Without a version header the write is known to be applied, but the next write could not
                // name the expected version. The caller has to read the key again, as after an unknown write.
                StatusCode::OK => parse_version(&response.headers)
                    .map_or(WriteOutcome::Unknown, WriteOutcome::Applied),
                StatusCode::CONFLICT => WriteOutcome::Conflict,
                StatusCode::TOO_MANY_REQUESTS => {
                    WriteOutcome::NotApplied(NotAppliedReason::RateLimited)
                }
                StatusCode::SERVICE_UNAVAILABLE => {
                    WriteOutcome::NotApplied(NotAppliedReason::Outage)
                }
                StatusCode::PAYLOAD_TOO_LARGE => {
                    WriteOutcome::NotApplied(NotAppliedReason::TooLarge)
                }
                _ => WriteOutcome::Unknown,
            },
            Err(http_client::CallFailure::NotSent) => {
                WriteOutcome::NotApplied(NotAppliedReason::Outage)
            }
            Err(_) => WriteOutcome::Unknown,
        }
    }

    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome {
        let wait = deadline.saturating_duration_since(Instant::now());
        let query = ReadQuery { after: Some(after), wait_ms: to_milliseconds(wait) };
        let path = Self::kv_path(key, &query);
        // The store ends the watch at its deadline. The response may arrive up to `call_timeout` later.
        let call_deadline = self.client.deadline() + wait;
        match self.client.send_request(Method::GET, &path, None, call_deadline).await {
            Ok(response) => match response.status {
                StatusCode::OK => parse_value(response)
                    .map_or_else(WatchOutcome::Unavailable, WatchOutcome::Changed),
                StatusCode::NOT_MODIFIED => WatchOutcome::Unchanged,
                status => WatchOutcome::Unavailable(unavailable_reason(status)),
            },
            Err(failure) => WatchOutcome::Unavailable(failure.into()),
        }
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        let path = format!("/v1/kv?{}", encode_query(&ListQuery { prefix: prefix.into() }));
        match self.client.send_request(Method::GET, &path, None, self.client.deadline()).await {
            Ok(response) if response.status == StatusCode::OK => parse_list(&response.body)
                .map_or(ListOutcome::Unavailable(UnavailableReason::Malformed), ListOutcome::Found),
            Ok(response) => ListOutcome::Unavailable(unavailable_reason(response.status)),
            Err(failure) => ListOutcome::Unavailable(failure.into()),
        }
    }

    async fn acquire_lease(
        &self,
        key: &StoreKey,
        holder: &str,
        time_to_live: Duration,
    ) -> LeaseOutcome {
        let ttl_ms = to_milliseconds(time_to_live);
        let query = LeaseQuery { key: key.as_str().into(), holder: holder.into(), ttl_ms };
        let path = format!("/v1/leases?{}", encode_query(&query));
        // The store starts the lease when it receives the call, which is later, so this deadline is not after
        // the store's.
        let deadline = Instant::now() + Duration::from_millis(ttl_ms);
        match self.client.send_request(Method::POST, &path, None, self.client.deadline()).await {
            Ok(response) => match response.status {
                StatusCode::OK => match serde_json::from_slice::<LeaseGrant>(&response.body) {
                    Ok(grant) => {
                        let LeaseGrant { lease: id, fencing } = grant;
                        LeaseOutcome::Acquired(Lease { id, fencing, deadline })
                    }
                    Err(_) => LeaseOutcome::Unavailable(UnavailableReason::Malformed),
                },
                StatusCode::CONFLICT => LeaseOutcome::Held,
                status => LeaseOutcome::Unavailable(unavailable_reason(status)),
            },
            Err(failure) => LeaseOutcome::Unavailable(failure.into()),
        }
    }

    async fn renew_lease(&self, lease: &Lease, time_to_live: Duration) -> RenewOutcome {
        let ttl_ms = to_milliseconds(time_to_live);
        let query = encode_query(&RenewQuery { ttl_ms: Some(ttl_ms) });
        let path = format!("/v1/leases/{}/renew?{query}", lease.id);
        let deadline = Instant::now() + Duration::from_millis(ttl_ms);
        match self.client.send_request(Method::POST, &path, None, self.client.deadline()).await {
            Ok(response) => match response.status {
                StatusCode::OK => RenewOutcome::Renewed(deadline),
                StatusCode::NOT_FOUND | StatusCode::CONFLICT | StatusCode::GONE => {
                    RenewOutcome::Lost
                }
                status => RenewOutcome::Unavailable(unavailable_reason(status)),
            },
            Err(failure) => RenewOutcome::Unavailable(failure.into()),
        }
    }

    async fn release_lease(&self, lease: Lease) {
        let path = format!("/v1/leases/{}", lease.id);
        // The lease expires by itself if this call is lost.
        drop(self.client.send_request(Method::DELETE, &path, None, self.client.deadline()).await);
    }
}
