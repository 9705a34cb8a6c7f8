use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyper::{Client, RequestBuilder};
use http::{HeaderMap, Method, StatusCode};
use snafu::{ResultExt as _, Snafu};

use crate::UnavailableReason;

/// Why a client of a platform service could not be built.
#[derive(Debug, Snafu)]
#[snafu(display("the HTTP client for `{address}` could not be built; check the TLS set-up"))]
pub struct ClientError {
    address: SocketAddr,
    source: cyper::Error,
}

/// An answer that arrived whole.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The connection could not be made, so the request was never sent.
    NotSent,
    /// The connection broke after the request may have been sent.
    Broken,
    /// The deadline passed after the request may have been sent.
    Timeout,
}

impl From<CallFailure> for UnavailableReason {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::NotSent | CallFailure::Broken => Self::Outage,
            CallFailure::Timeout => Self::Timeout,
        }
    }
}

/// Makes HTTP calls to one address, each with a deadline.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client,
    address: SocketAddr,
    call_timeout: Duration,
}

impl HttpClient {
    pub(crate) fn new(address: SocketAddr, call_timeout: Duration) -> Result<Self, ClientError> {
        // The platform is addressed by IP number, so a proxy of the environment or a redirect would lead
        // to another service.
        let client = Client::builder()
            .no_proxy()
            .redirect(cyper::redirect::Policy::none())
            .build()
            .context(ClientSnafu { address })?;
        Ok(Self { client, address, call_timeout })
    }

    /// The deadline of a call that is sent now.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.call_timeout
    }

    /// Makes a call and reads the answer whole.
    pub(crate) async fn call(
        &self,
        method: Method,
        path_and_query: &str,
        body: Option<Vec<u8>>,
        deadline: Instant,
    ) -> Result<HttpResponse, CallFailure> {
        let url = format!("http://{}{path_and_query}", self.address);
        let mut builder =
            self.client.request(method, url.as_str()).map_err(|_| CallFailure::NotSent)?;
        if let Some(body) = body {
            builder = builder.body(body);
        }
        let response = compio::time::timeout_at(deadline, Self::send(builder)).await;
        response.unwrap_or(Err(CallFailure::Timeout))
    }

    async fn send(builder: RequestBuilder) -> Result<HttpResponse, CallFailure> {
        let response = builder.send().await.map_err(|error| Self::classify_error(&error))?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.bytes().await.map_err(|_| CallFailure::Broken)?;
        Ok(HttpResponse { status, headers, body })
    }

    /// Only a failed connection proves that nothing was sent.
    fn classify_error(error: &cyper::Error) -> CallFailure {
        match error {
            cyper::Error::HyperClient(error) if error.is_connect() => CallFailure::NotSent,
            _ => CallFailure::Broken,
        }
    }
}
