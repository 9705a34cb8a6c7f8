use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_http::{ConnectionError, HttpConnection};
use bytes::Bytes;
use compio::time::timeout;
use http::{HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    LoanAnswer, LoanRequest, TokenGift,
    loan_messages::EarlierLoanAnswer,
    loan_server::{
        CLOCK_PATH, CONFIG_PATH, CRASH_PATH, FLEET_PATH, GIFT_PATH, LIST_PATH, LOAN_PATH,
        PART_PATH, PERMIT_PATH, RATE_PATH, WITNESS_PATH,
    },
    message_codec::{decode_either, decode_message, encode_message},
};
use crate::{
    config::FleetConfig,
    crashes::{CrashNotice, NoticeReply, PartNotice, PartReply},
    endpoints::{ConnectionPool, PooledConnection},
    rate_limits::{PermitReply, PermitRequest, RateNotice},
    registry::{FleetAnswer, FleetQuery, ListAnswer, ListQuery},
    witness::{WitnessReply, WitnessRequest},
};

/// The timeout of a call to another gateway. Gateways of a region are milliseconds apart; a lender may wait for the store
/// for [`LEND_PATIENCE`](crate::funds::LEND_PATIENCE).
const CALL_TIMEOUT: Duration = Duration::from_millis(120);

/// How long an answer about the list of endpoints, or the configuration, may be on its way. It may be large, and have to pass a link that is full.
const LIST_ANSWER_TIME: Duration = Duration::from_millis(600);

/// The largest answer of another gateway, in bytes: the list of endpoints, or the configuration, many times over.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// How long a gateway that did not answer is asked after the others. A gateway that ended leaves the member list a few
/// seconds later.
const AVOIDANCE_TIME: Duration = Duration::from_secs(2);

/// The reason why a gift was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiftError {
    /// The gift was not sent, so it may be offered to another gateway.
    NotSent,
    /// The gift may have been accepted.
    Unknown,
}

/// A client that asks other gateways for loans and for their time, and offers them gifts. Its connections are kept for
/// further calls.
#[derive(Debug, Default)]
pub struct LoanClient {
    pools: RefCell<HashMap<SocketAddr, ConnectionPool>>,
    /// Until when a gateway that did not answer is asked after the others.
    avoided_until: RefCell<HashMap<SocketAddr, Instant>>,
}

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
        let body = match timeout(CALL_TIMEOUT, self.call(lender, LOAN_PATH, request)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.avoid(lender);
                return Err(error.reason);
            }
            Err(_) => {
                self.avoid(lender);
                return Err("the lender did not answer in time".into());
            }
        };
        decode_either::<LoanAnswer, EarlierLoanAnswer>(&body)
            .map_err(|error| error.to_string().into())
    }

    /// Returns the gateways in the same order, except that those that lately did not answer come last.
    pub fn order_by_health(&self, mut lenders: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let (avoided_until, now) = (self.avoided_until.borrow(), Instant::now());
        lenders.sort_by_key(|lender| avoided_until.get(lender).is_some_and(|until| now < *until));
        lenders
    }

    /// Asks a gateway after the others for a while. Its idle connections have most likely gone silent too.
    fn avoid(&self, peer: SocketAddr) {
        self.pools.borrow_mut().remove(&peer);
        self.avoided_until.borrow_mut().insert(peer, Instant::now() + AVOIDANCE_TIME);
    }

    /// Asks a gateway for its time of day in Unix milliseconds. Returns `None` if it does not answer.
    pub async fn fetch_time(&self, peer: SocketAddr) -> Option<u64> {
        let body = timeout(CALL_TIMEOUT, self.call(peer, CLOCK_PATH, &())).await.ok()?.ok()?;
        decode_message(&body).ok()
    }

    /// Sends a notice about requests that crash endpoints to a gateway.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway did not confirm the notice. It may have received it.
    pub async fn send_crash_notice(
        &self,
        peer: SocketAddr,
        notice: &CrashNotice,
    ) -> Result<NoticeReply, Box<str>> {
        self.send_notice(peer, CRASH_PATH, notice).await
    }

    /// Sends a notice about parts of prompts that crash endpoints to a gateway.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway did not confirm the notice. It may have received it.
    pub async fn send_part_notice(
        &self,
        peer: SocketAddr,
        notice: &PartNotice,
    ) -> Result<PartReply, Box<str>> {
        self.send_notice(peer, PART_PATH, notice).await
    }

    /// Sends a notice about the rates of endpoints to a gateway.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway did not confirm the notice. It may have received it.
    pub async fn send_rate_notice(
        &self,
        peer: SocketAddr,
        notice: &RateNotice,
    ) -> Result<(), Box<str>> {
        self.send_notice(peer, RATE_PATH, notice).await
    }

    /// Asks a gateway for a permit to send a request to an endpoint that limits its requests.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway did not answer. A permit may be lost with its answer.
    pub async fn request_permit(
        &self,
        issuer: SocketAddr,
        request: &PermitRequest,
    ) -> Result<PermitReply, Box<str>> {
        let reply = self.send_notice(issuer, PERMIT_PATH, request).await;
        if reply.is_err() {
            self.avoid(issuer);
        }
        reply
    }

    /// Sends a message to a witness of spent tokens.
    ///
    /// # Errors
    ///
    /// Returns the reason why the witness did not answer. It may have received the message.
    pub async fn ask_witness(
        &self,
        witness: SocketAddr,
        request: &WitnessRequest,
    ) -> Result<WitnessReply, Box<str>> {
        self.send_notice(witness, WITNESS_PATH, request).await
    }

    /// Asks a gateway how its list of endpoints differs from this one's.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway did not answer in time, besides the wait that the query allows.
    pub async fn query_list(
        &self,
        peer: SocketAddr,
        query: &ListQuery,
    ) -> Result<ListAnswer, Box<str>> {
        let time_limit = Duration::from_millis(query.wait_ms) + LIST_ANSWER_TIME;
        self.call_within(time_limit, peer, LIST_PATH, query).await
    }

    /// Asks a gateway how its list of gateways differs from this one's. Returns `None` if it has none.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway did not answer in time.
    pub async fn query_fleet(
        &self,
        peer: SocketAddr,
        query: &FleetQuery,
    ) -> Result<Option<FleetAnswer>, Box<str>> {
        self.call_within(LIST_ANSWER_TIME, peer, FLEET_PATH, query).await
    }

    /// Reads the configuration that a gateway has in force. Returns `None` if it has none.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway did not answer in time.
    pub async fn fetch_config(&self, peer: SocketAddr) -> Result<Option<FleetConfig>, Box<str>> {
        self.call_within(LIST_ANSWER_TIME, peer, CONFIG_PATH, &()).await
    }

    async fn send_notice<R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        notice: &impl Serialize,
    ) -> Result<R, Box<str>> {
        self.call_within(CALL_TIMEOUT, peer, path, notice).await
    }

    async fn call_within<R: DeserializeOwned>(
        &self,
        time_limit: Duration,
        peer: SocketAddr,
        path: &'static str,
        message: &impl Serialize,
    ) -> Result<R, Box<str>> {
        let body = match timeout(time_limit, self.call(peer, path, message)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(error.reason),
            Err(_) => return Err("the gateway did not answer in time".into()),
        };
        decode_message(&body).map_err(|error| error.to_string().into())
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
        match timeout(CALL_TIMEOUT, self.call(recipient, GIFT_PATH, gift)).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) if error.is_not_sent => Err(GiftError::NotSent),
            Ok(Err(_)) | Err(_) => Err(GiftError::Unknown),
        }
    }

    /// Closes the connections that have been idle for too long, and forgets peers without connections.
    pub fn close_expired(&self, now: Instant) {
        self.avoided_until.borrow_mut().retain(|_, until| now < *until);
        self.pools.borrow_mut().retain(|_, pool| {
            pool.close_expired(now);
            !pool.is_empty()
        });
    }

    async fn call(
        &self,
        peer: SocketAddr,
        path: &'static str,
        body: &impl Serialize,
    ) -> Result<Bytes, CallError> {
        let failed = |is_not_sent: bool, reason: &dyn std::fmt::Display| CallError {
            is_not_sent,
            reason: reason.to_string().into(),
        };
        let body = encode_message(body).map_err(|error| failed(true, &error))?;
        loop {
            let idle = self.take_idle(peer);
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => HttpConnection::connect(peer, CALL_TIMEOUT)
                    .await
                    .map_err(|error| failed(true, &error))?,
            };
            let response = match connection.send(build_request(path, &body)).await {
                Ok(response) => response,
                // The peer closed the idle connection; a new one may work.
                Err(ConnectionError::NotWritten) if is_reused => continue,
                Err(error) => {
                    return Err(failed(error.is_not_sent(), &error));
                }
            };
            if response.status() != StatusCode::OK {
                // A stopping gateway takes no message.
                let is_not_taken = response.status() == StatusCode::SERVICE_UNAVAILABLE;
                return Err(failed(is_not_taken, &response.status()));
            }
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let answer = body.collect().await.map_err(|error| failed(false, &error))?;
            let mut pools = self.pools.borrow_mut();
            pools.entry(peer).or_default().put(connection, None, Instant::now());
            return Ok(answer.to_bytes());
        }
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<PooledConnection> {
        self.pools.borrow_mut().get_mut(&peer)?.take(false, Instant::now())
    }
}

struct CallError {
    is_not_sent: bool,
    reason: Box<str>,
}

fn build_request(path: &'static str, body: &Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("gateway"));
    request
}
