use std::time::{Duration, Instant};

use bramleywind_http::HttpConnection;
use bytes::Bytes;
use http_body_util::Full;

/// How long a connection may lie idle before it is closed, unless the endpoint names a time of its own.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// The part of the endpoint's idle time after which a connection is no longer used, so that a request does
/// not cross the endpoint's close.
const USABLE_IDLE_PART: f64 = 0.5;

/// The idle time up to which a connection carries a request that must not be repeated. An endpoint may drop an idle connection
/// without notice, and then nobody knows whether the request ran.
const FRESH_TIME: Duration = Duration::from_millis(300);

/// Idle connections that are kept for one endpoint.
const MOST_IDLE: usize = 24;

/// A connection to an endpoint, as the forwarding of requests uses it.
pub type PooledConnection = HttpConnection<Full<Bytes>>;

/// The connections to one endpoint that no request uses.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    idle_since: Instant,
    usable_until: Instant,
}

impl ConnectionPool {
    /// Takes the connection that was used last and that the endpoint still keeps open. With `must_be_fresh` only one that
    /// was used a moment ago.
    pub fn take(&mut self, must_be_fresh: bool, now: Instant) -> Option<PooledConnection> {
        let is_fresh = |entry: &IdleConnection| now < entry.idle_since + FRESH_TIME;
        if must_be_fresh && !self.idle.last().is_some_and(is_fresh) {
            return None;
        }
        while let Some(entry) = self.idle.pop() {
            if now < entry.usable_until && entry.connection.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has ended. `idle_time` is how long the endpoint says that it keeps it.
    pub fn put(&mut self, connection: PooledConnection, idle_time: Option<Duration>, now: Instant) {
        let idle_time = idle_time.unwrap_or(DEFAULT_IDLE_TIME).min(DEFAULT_IDLE_TIME);
        let usable_until = now + idle_time.mul_f64(USABLE_IDLE_PART);
        if self.idle.len() >= MOST_IDLE {
            self.idle.remove(0);
        }
        self.idle.push(IdleConnection { connection, idle_since: now, usable_until });
    }

    /// Closes the connections that are too old to be used.
    pub fn close_expired(&mut self, now: Instant) {
        self.idle.retain(|entry| now < entry.usable_until);
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
