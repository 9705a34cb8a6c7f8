use cyper::Client;
use http::{HeaderMap, Method, StatusCode};
use serde_json::Value;

use crate::{FleetError, SseResponse};

/// An HTTP client that calls the processes of a fleet as callers and operators do.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client,
}

/// A response that was read completely.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl CallResponse {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

impl HttpCaller {
    /// Returns a caller with its own connections.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if the client cannot be built.
    pub fn new() -> Result<Self, FleetError> {
        let client = Client::new().map_err(|error| call_error("client", &error))?;
        Ok(Self { client })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no complete response.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<CallResponse, FleetError> {
        let response = self.send(method, url, headers, body).await?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.bytes().await.map_err(|error| call_error(url, &error))?.to_vec();
        Ok(CallResponse { status, headers, body })
    }

    /// Sends a request and returns once the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no response.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<cyper::Response, FleetError> {
        let mut request =
            self.client.request(method, url).map_err(|error| call_error(url, &error))?;
        for (name, value) in headers {
            request = request.header(*name, *value).map_err(|error| call_error(url, &error))?;
        }
        request.body(body).send().await.map_err(|error| call_error(url, &error))
    }

    /// Reads a JSON document. Returns null if the body is not valid JSON.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no complete response.
    pub async fn get_json(&self, url: &str, headers: &[(&str, &str)]) -> Result<Value, FleetError> {
        Ok(self.call(Method::GET, url, headers, Vec::new()).await?.json())
    }

    /// Posts a JSON document.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no complete response.
    pub async fn post_json(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<CallResponse, FleetError> {
        let mut headers = headers.to_vec();
        headers.push(("content-type", "application/json"));
        self.call(Method::POST, url, &headers, body.to_string().into_bytes()).await
    }

    /// Makes a streamed model call. `on_chunk` is called with the number of content chunks that have arrived.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no response. A stream that breaks later ends with [`SseEnd::Cut`](crate::SseEnd).
    pub async fn stream(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: &Value,
        on_chunk: impl FnMut(usize),
    ) -> Result<(StatusCode, SseResponse), FleetError> {
        let mut headers = headers.to_vec();
        headers.push(("content-type", "application/json"));
        let body = body.to_string().into_bytes();
        let response = self.send(Method::POST, url, &headers, body).await?;
        let status = response.status();
        Ok((status, SseResponse::read(response, on_chunk).await))
    }
}

fn call_error(url: &str, error: &dyn std::error::Error) -> FleetError {
    let mut reason = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        reason = format!("{reason}: {inner}");
        source = inner.source();
    }
    FleetError::Call { url: url.into(), reason: reason.into() }
}
