use std::{net::SocketAddr, time::Duration};

use bramleywind_http::HttpConnection;
use bytes::Bytes;
use compio::time::timeout;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};

use super::{LoanAnswer, LoanRequest};

/// How long a loan may take. Gateways of a region are milliseconds apart.
const LOAN_TIME: Duration = Duration::from_millis(120);

/// Asks other gateways for loans.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoanClient;

impl LoanClient {
    /// Asks one gateway.
    ///
    /// # Errors
    ///
    /// What went wrong. Tokens that were lent in an answer that did not arrive are lost to both sides.
    pub async fn borrow(
        &self,
        lender: SocketAddr,
        request: &LoanRequest,
    ) -> Result<LoanAnswer, Box<str>> {
        match timeout(LOAN_TIME, call(lender, request)).await {
            Ok(answer) => answer,
            Err(_) => Err("no answer in time".into()),
        }
    }
}

async fn call(lender: SocketAddr, request: &LoanRequest) -> Result<LoanAnswer, Box<str>> {
    let text = |error: &dyn std::fmt::Display| Box::<str>::from(error.to_string());
    let body = bincode::serde::encode_to_vec(request, bincode::config::standard())
        .map_err(|error| text(&error))?;
    let mut connection =
        HttpConnection::connect(lender, LOAN_TIME).await.map_err(|error| text(&error))?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static("/loan");
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("gateway"));
    let response = connection.send(request).await.map_err(|error| text(&error))?;
    if response.status() != StatusCode::OK {
        return Err(format!("answered with {}", response.status()).into());
    }
    let body = response.into_body().collect().await.map_err(|error| text(&error))?.to_bytes();
    bincode::serde::decode_from_slice(&body, bincode::config::standard())
        .map(|(answer, _)| answer)
        .map_err(|error| text(&error))
}
