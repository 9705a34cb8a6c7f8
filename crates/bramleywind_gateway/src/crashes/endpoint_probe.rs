use std::time::{Duration, Instant};

use bramleywind_http::{ConnectionError, HttpConnection};
use compio::time::sleep;

use crate::endpoints::Endpoint;

/// Timeout of a probe. An endpoint that has ended refuses the connection within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a new connection must stay open. A supervisor or sidecar that holds the port of an endpoint that has ended
/// accepts connections and closes them after a round trip or two.
const PROBE_HOLD_TIME: Duration = Duration::from_millis(25);

/// The state of an endpoint that lost a connection, according to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The address refuses connections, or closes them and none is left open: the process has ended.
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

/// Connects to an endpoint that lost a connection at `lost_at`, to find out whether its process has ended. Keeps the
/// connection for the next request.
pub async fn probe_endpoint(endpoint: &Endpoint, lost_at: Instant) -> ProbeOutcome {
    let address = endpoint.record().address;
    match HttpConnection::connect(address, PROBE_TIMEOUT).await {
        Ok(connection) => {
            sleep(PROBE_HOLD_TIME).await;
            if connection.is_ready() {
                if endpoint.is_open() {
                    endpoint.pool().borrow_mut().put(connection, None, Instant::now());
                }
                return ProbeOutcome::Alive;
            }
            // An endpoint at its limit of connections closes new ones too, but keeps those that it has.
            let is_gone = endpoint.is_silent_since(lost_at) && !endpoint.pool().borrow().has_open();
            if is_gone { ProbeOutcome::Ended } else { ProbeOutcome::Alive }
        }
        Err(ConnectionError::NotConnected { is_refused: true, .. }) => ProbeOutcome::Ended,
        Err(_) => ProbeOutcome::Unknown,
    }
}
