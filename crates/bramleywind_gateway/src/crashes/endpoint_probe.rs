use std::time::{Duration, Instant};

use bramleywind_http::{ConnectionError, HttpConnection};

use crate::endpoints::Endpoint;

/// Timeout of a probe. An endpoint that has ended refuses the connection within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The state of an endpoint that lost a connection, according to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The address refuses connections: the process has ended.
    Ended,
    /// The endpoint accepts connections: only the lost connection failed.
    Alive,
    /// The connection was not established in time, so the endpoint may be cut off.
    Unknown,
}

impl ProbeOutcome {
    /// The outcome's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

/// Connects to an endpoint that lost a connection, to find out whether its process has ended. Keeps the connection for
/// the next request.
pub async fn probe_endpoint(endpoint: &Endpoint) -> ProbeOutcome {
    let address = endpoint.record().address;
    match HttpConnection::connect(address, PROBE_TIMEOUT).await {
        Ok(connection) => {
            if endpoint.is_open() {
                endpoint.pool().borrow_mut().put(connection, None, Instant::now());
            }
            ProbeOutcome::Alive
        }
        Err(ConnectionError::NotConnected { is_refused: true, .. }) => ProbeOutcome::Ended,
        Err(_) => ProbeOutcome::Unknown,
    }
}
