use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyper::{Client, RequestBuilder};
use http::{HeaderMap, Method, StatusCode};
use snafu::{ResultExt as _, Snafu};

use crate::UnavailableReason;

/// The error of building a client of a platform service.
#[derive(Debug, Snafu)]
#[snafu(display("failed to build the HTTP client for `{address}`; check the TLS setup"))]
pub struct ClientError {
    address: SocketAddr,
    source: cyper::Error,
}

/// A complete HTTP response.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The reason why a call got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The connection could not be established, so the request was not sent.
    NotSent,
    /// The connection failed after the request may have been sent.
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

/// An HTTP client for one address, whose calls have deadlines.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client,
    address: SocketAddr,
    call_timeout: Duration,
}

impl HttpClient {
    pub(crate) fn new(address: SocketAddr, call_timeout: Duration) -> Result<Self, ClientError> {
        // The platform is addressed by IP address, so a proxy from the environment or a redirect would lead to
        // a different service.
        let client = Client::builder()
            .no_proxy()
            .redirect(cyper::redirect::Policy::none())
            .build()
            .context(ClientSnafu { address })?;
        Ok(Self { client, address, call_timeout })
    }

    /// Returns the deadline of a call that is sent now.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.call_timeout
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send_request(
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

    /// Classifies an error. Only a failed connection attempt proves that nothing was sent.
    fn classify_error(error: &cyper::Error) -> CallFailure {
        match error {
            cyper::Error::HyperClient(error) if error.is_connect() => CallFailure::NotSent,
            _ => CallFailure::Broken,
        }
    }
}
