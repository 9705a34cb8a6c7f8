use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};

use crate::{
    InstanceList, UnavailableReason,
    http_store::http_client::{ClientError, HttpClient},
};

/// What a call for the instance list came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryOutcome {
    /// The list, which may lag behind.
    Found(InstanceList),
    /// The platform gave no answer; the last known list stands.
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
    /// A client of the list at `address`, each of whose calls ends within `call_timeout`.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be built. No connection is made yet.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Result<Self, ClientError> {
        Ok(Self { client: HttpClient::new(address, call_timeout)? })
    }

    /// Fetches the list.
    pub async fn fetch(&self) -> DirectoryOutcome {
        let deadline = self.client.deadline();
        match self.client.call(Method::GET, "/v1/instances", None, deadline).await {
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
