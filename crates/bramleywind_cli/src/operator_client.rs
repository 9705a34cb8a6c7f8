use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_settings::Secret;
use cyper::{Client, RequestBuilder};
use http::{Method, StatusCode, header::AUTHORIZATION};
use serde::de::DeserializeOwned;

use crate::CommandError;

/// An HTTP client for the operator ports and caller ports of instances.
#[derive(Debug)]
pub struct OperatorClient {
    client: Client,
    token: Option<Secret>,
    call_timeout: Duration,
}

impl OperatorClient {
    /// Builds a client that sends the token, if there is one, with every call.
    ///
    /// # Errors
    ///
    /// Fails with [`CommandError::Start`] if the HTTP client cannot be built.
    pub fn new(token: Option<Secret>, call_timeout: Duration) -> Result<Self, CommandError> {
        // Instances are addressed by IP address, so calls must not go through a proxy set in the environment.
        let client = Client::builder().no_proxy().redirect(cyper::redirect::Policy::none()).build();
        let client =
            client.map_err(|error| CommandError::Start { reason: error.to_string().into() })?;
        Ok(Self { client, token, call_timeout })
    }

    /// Sends a GET request and parses the JSON answer.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer, refuses the request, or answers with something else.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let body = self.call(Method::GET, address, path).await?;
        serde_json::from_slice(&body).map_err(|error| CommandError::InstanceAnswer {
            address,
            reason: error.to_string().into(),
        })
    }

    /// Sends a POST request without a body, and expects a success status.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer or refuses the request.
    pub async fn post(&self, address: SocketAddr, path: &str) -> Result<(), CommandError> {
        self.call(Method::POST, address, path).await.map(|_| ())
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<Vec<u8>, CommandError> {
        let unreachable = |reason: &dyn ToString| CommandError::InstanceUnreachable {
            address,
            reason: reason.to_string().into(),
        };
        let url = format!("http://{address}{path}");
        let mut request =
            self.client.request(method, url.as_str()).map_err(|error| unreachable(&error))?;
        if let Some(token) = &self.token {
            let value = format!("Bearer {}", token.expose());
            request = request.header(AUTHORIZATION, value).map_err(|_| CommandError::BadToken {
                reason: "it contains characters that an HTTP header does not allow; use letters and digits".into(),
            })?;
        }
        let deadline = Instant::now() + self.call_timeout;
        let (status, body) = compio::time::timeout_at(deadline, send(request))
            .await
            .map_err(|_| unreachable(&"timeout"))?
            .map_err(|error| unreachable(&error))?;
        if status.is_success() {
            return Ok(body);
        }
        let remedy = match status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => "pass the token of this instance",
            StatusCode::NOT_FOUND => "check that the address is the right port of the instance",
            _ => "check the log of the instance",
        };
        Err(CommandError::InstanceRefused { address, status: status.as_u16(), remedy })
    }
}

async fn send(request: RequestBuilder) -> Result<(StatusCode, Vec<u8>), cyper::Error> {
    let response = request.send().await?;
    let status = response.status();
    Ok((status, response.bytes().await?.to_vec()))
}
