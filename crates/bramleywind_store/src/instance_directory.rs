use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};

use crate::{
    InstanceList, UnavailableReason,
    http_store::http_client::{ClientError, HttpClient},
};

/// The outcome of fetching the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryOutcome {
    /// The platform returned the list, which may be outdated.
    Found(InstanceList),
    /// The platform gave no usable answer. The last known list remains valid.
    Unavailable(UnavailableReason),
}

/// A client of the platform's instance list.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_store::InstanceDirectory;
///
/// let address = "127.0.0.1:7002".parse().unwrap();
/// assert!(InstanceDirectory::new(address, Duration::from_millis(500)).is_ok());
/// ```
#[derive(Debug, Clone)]
pub struct InstanceDirectory {
    client: HttpClient,
}

impl InstanceDirectory {
    /// Creates a client of the instance list at `address`. Each call ends within `call_timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built. No connection is made yet.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Result<Self, ClientError> {
        Ok(Self { client: HttpClient::new(address, call_timeout)? })
    }

    /// Fetches the instance list.
    pub async fn fetch(&self) -> DirectoryOutcome {
        let deadline = self.client.deadline();
        match self.client.send_request(Method::GET, "/v1/instances", None, deadline).await {
            Ok(response) => match response.status {
                StatusCode::OK => serde_json::from_slice(&response.body).map_or(
                    DirectoryOutcome::Unavailable(UnavailableReason::Malformed),
                    DirectoryOutcome::Found,
                ),
                StatusCode::TOO_MANY_REQUESTS => {
                    DirectoryOutcome::Unavailable(UnavailableReason::RateLimited)
                }
                status if status.is_server_error() => {
                    DirectoryOutcome::Unavailable(UnavailableReason::Outage)
                }
                _ => DirectoryOutcome::Unavailable(UnavailableReason::Malformed),
            },
            Err(failure) => DirectoryOutcome::Unavailable(failure.into()),
        }
    }
}
