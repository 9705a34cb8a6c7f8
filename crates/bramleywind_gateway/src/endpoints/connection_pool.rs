use std::time::{Duration, Instant};

use bramleywind_http::HttpConnection;
use bytes::Bytes;
use http_body_util::Full;

/// Time after which an idle connection is closed, unless the endpoint announces a shorter one.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// Fraction of the endpoint's idle time for which a connection is reused, so that a request does not race with the
/// endpoint closing the connection.
const USABLE_IDLE_FRACTION: f64 = 0.5;

/// Longest idle time after which a connection may still carry a request that must not be repeated. An endpoint can drop
/// an idle connection without notice, and then it is unknown whether the request ran.
const MAX_FRESH_IDLE_TIME: Duration = Duration::from_millis(300);

/// Number of idle connections kept for one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// A connection on which requests are forwarded to an endpoint.
pub type PooledConnection = HttpConnection<Full<Bytes>>;

/// Holds the idle connections to one endpoint.
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
    /// Removes and returns the most recently used connection that is still open. With `must_be_fresh`, returns only a
    /// connection that has been idle for less than `MAX_FRESH_IDLE_TIME`.
    pub fn take(&mut self, must_be_fresh: bool, now: Instant) -> Option<PooledConnection> {
        let is_fresh = |entry: &IdleConnection| now < entry.idle_since + MAX_FRESH_IDLE_TIME;
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

    /// Returns a connection to the pool after a response has been read to its end. `idle_time` is how long the endpoint
    /// announced to keep it open; the oldest connection is closed if the pool is full.
    pub fn put(&mut self, connection: PooledConnection, idle_time: Option<Duration>, now: Instant) {
        let idle_time = idle_time.unwrap_or(DEFAULT_IDLE_TIME).min(DEFAULT_IDLE_TIME);
        let usable_until = now + idle_time.mul_f64(USABLE_IDLE_FRACTION);
        if self.idle.len() >= MAX_IDLE_CONNECTIONS {
            self.idle.remove(0);
        }
        self.idle.push(IdleConnection { connection, idle_since: now, usable_until });
    }

    /// Closes the connections that have been idle for too long to be reused.
    pub fn close_expired(&mut self, now: Instant) {
        self.idle.retain(|entry| now < entry.usable_until);
    }

    /// Reports whether the endpoint has kept a connection open.
    pub fn has_open(&self) -> bool {
        self.idle.iter().any(|entry| entry.connection.is_ready())
    }

    /// Reports whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
