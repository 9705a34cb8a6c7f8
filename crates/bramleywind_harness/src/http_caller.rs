use cyper::Client;
use http::{HeaderMap, Method, StatusCode};
use serde_json::Value;

use crate::{FleetError, SseAnswer};

/// Calls the processes of a fleet as callers and operators do.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client,
}

/// A response that was read to its end.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl CallAnswer {
    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

impl HttpCaller {
    /// A caller with its own connections.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if the client cannot be built.
    pub fn new() -> Result<Self, FleetError> {
        let client = Client::new().map_err(|error| call_error("client", &error))?;
        Ok(Self { client })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no whole answer.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<CallAnswer, FleetError> {
        let response = self.send(method, url, headers, body).await?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.bytes().await.map_err(|error| call_error(url, &error))?.to_vec();
        Ok(CallAnswer { status, headers, body })
    }

    /// Sends a request and returns when the response's headers have arrived.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no answer.
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

    /// Reads a JSON document.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no whole answer.
    pub async fn get_json(&self, url: &str, headers: &[(&str, &str)]) -> Result<Value, FleetError> {
        Ok(self.call(Method::GET, url, headers, Vec::new()).await?.json())
    }

    /// Posts a JSON document.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no whole answer.
    pub async fn post_json(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<CallAnswer, FleetError> {
        let mut headers = headers.to_vec();
        headers.push(("content-type", "application/json"));
        self.call(Method::POST, url, &headers, body.to_string().into_bytes()).await
    }

    /// Makes a streamed model call. `on_chunk` is told how many content chunks have arrived.
    ///
    /// # Errors
    ///
    /// [`FleetError::Call`] if there was no answer; a stream that breaks later is a [`SseAnswer`] that was cut.
    pub async fn stream(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: &Value,
        on_chunk: impl FnMut(usize),
    ) -> Result<(StatusCode, SseAnswer), FleetError> {
        let mut headers = headers.to_vec();
        headers.push(("content-type", "application/json"));
        let body = body.to_string().into_bytes();
        let response = self.send(Method::POST, url, &headers, body).await?;
        let status = response.status();
        Ok((status, SseAnswer::read(response, on_chunk).await))
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
