use std::{net::SocketAddr, time::Duration, time::Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, request, response};

use super::{AnswerHead, CallHead, RequestHead};

/// Reads and writes the heads of messages in the platform's format. A codec makes no decisions.
pub trait WireCodec: 'static {
    /// Reads the head of a caller's request that arrived at `arrival`.
    fn read_request(head: &request::Parts, arrival: Instant) -> RequestHead;

    /// Returns the headers of a call to an endpoint that is sent at `now`: those of the caller, except for hop-by-hop
    /// headers and those that only the gateway may set, and those of `call`.
    fn call_headers(caller: &HeaderMap, call: &CallHead<'_>, now: Instant) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn read_answer(head: &response::Parts) -> AnswerHead;

    /// Returns the headers of an answer that are passed on to the caller.
    fn answer_headers(head: &response::Parts) -> HeaderMap;

    /// Returns the header value for a delay after which a caller may retry.
    fn retry_after(delay: Duration) -> HeaderValue;

    /// Reports whether callers ask at this path which gateways to use.
    fn is_entry_query(path: &str) -> bool;

    /// Returns the body of the answer that tells callers which gateways to use, and for how long.
    fn entry_answer(addresses: &[SocketAddr], validity: Duration) -> Bytes;
}
