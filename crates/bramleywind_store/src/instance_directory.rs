use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    InstanceList, UnavailableReason,
    http_store::http_client::{ClientError, HttpClient},
};

/// The outcome of fetching the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryOutcome {
    /// The platform returned the list, which may be outdated.
    Found(InstanceList),
    /// The platform returned the list, with records that cannot be read, and the reasons. The other records hold.
    PartlyFound(InstanceList, Vec<Box<str>>),
    /// The platform gave no usable answer. The last known list remains valid.
    Unavailable(UnavailableReason),
}

/// The instance list with records that are not decoded yet, so that one that cannot be read hides no other.
#[derive(Deserialize)]
struct ListMessage<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
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
                StatusCode::OK => decode_list(&response.body),
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

fn decode_list(body: &[u8]) -> DirectoryOutcome {
    let Ok(message) = serde_json::from_slice::<ListMessage<'_>>(body) else {
        return DirectoryOutcome::Unavailable(UnavailableReason::Malformed);
    };
    let (mut list, mut unreadable) = (InstanceList::default(), Vec::new());
    for record in message.instances {
        match serde_json::from_str(record.get()) {
            Ok(record) => list.instances.push(record),
            Err(error) => unreadable.push(error.to_string().into()),
        }
    }
    match unreadable.is_empty() {
        true => DirectoryOutcome::Found(list),
        false => DirectoryOutcome::PartlyFound(list, unreadable),
    }
}
