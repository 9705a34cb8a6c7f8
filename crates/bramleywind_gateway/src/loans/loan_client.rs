use std::{net::SocketAddr, time::Duration};

use bramleywind_http::{ConnectionError, HttpConnection};
use bytes::Bytes;
use compio::time::timeout;
use http::{HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use super::{
    LoanAnswer, LoanRequest, TokenGift,
    loan_server::{CLOCK_PATH, GIFT_PATH, LOAN_PATH},
    message_codec::{decode_message, encode_message},
};

/// The timeout of a call to another gateway. Gateways of a region are milliseconds apart.
const CALL_TIMEOUT: Duration = Duration::from_millis(120);

/// The reason why a gift was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiftError {
    /// The gift was not sent, so it may be offered to another gateway.
    NotSent,
    /// The gift may have been accepted.
    Unknown,
}

/// A client that asks other gateways for loans and for their time, and offers them gifts.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoanClient;

impl LoanClient {
    /// Asks a gateway for a loan.
    ///
    /// # Errors
    ///
    /// Returns the reason why no answer was received. Tokens lent in an answer that does not arrive are lost to both
    /// sides.
    pub async fn request_loan(
        &self,
        lender: SocketAddr,
        request: &LoanRequest,
    ) -> Result<LoanAnswer, Box<str>> {
        let body = match timeout(CALL_TIMEOUT, call(lender, LOAN_PATH, request)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(error.reason),
            Err(_) => return Err("the lender did not answer in time".into()),
        };
        decode_message(&body).map_err(|error| error.to_string().into())
    }

    /// Asks a gateway for its time of day in Unix milliseconds. Returns `None` if it does not answer.
    pub async fn fetch_time(&self, peer: SocketAddr) -> Option<u64> {
        let body = timeout(CALL_TIMEOUT, call(peer, CLOCK_PATH, &())).await.ok()?.ok()?;
        decode_message(&body).ok()
    }

    /// Offers a gift to a gateway.
    ///
    /// # Errors
    ///
    /// Returns a [`GiftError`] if the gateway did not confirm the gift.
    pub async fn offer_gift(
        &self,
        recipient: SocketAddr,
        gift: &TokenGift,
    ) -> Result<(), GiftError> {
        match timeout(CALL_TIMEOUT, call(recipient, GIFT_PATH, gift)).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) if error.is_not_sent => Err(GiftError::NotSent),
            Ok(Err(_)) | Err(_) => Err(GiftError::Unknown),
        }
    }
}

struct CallError {
    is_not_sent: bool,
    reason: Box<str>,
}

async fn call(
    peer: SocketAddr,
    path: &'static str,
    body: &impl Serialize,
) -> Result<Bytes, CallError> {
    let failed = |is_not_sent: bool, reason: &dyn std::fmt::Display| CallError {
        is_not_sent,
        reason: reason.to_string().into(),
    };
    let body = encode_message(body).map_err(|error| failed(true, &error))?;
    let mut connection =
        HttpConnection::connect(peer, CALL_TIMEOUT).await.map_err(|error| failed(true, &error))?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("gateway"));
    let response = connection
        .send(request)
        .await
        .map_err(|error| failed(!matches!(error, ConnectionError::Broken { .. }), &error))?;
    if response.status() != StatusCode::OK {
        return Err(failed(false, &response.status()));
    }
    let body = response.into_body().collect().await.map_err(|error| failed(false, &error))?;
    Ok(body.to_bytes())
}
