use std::{net::SocketAddr, time::Duration, time::Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, request, response};

use super::{AnswerHead, CallHead, RequestHead};

/// Reads and writes the heads of messages in the platform's format. It decides nothing.
pub trait WireCodec: 'static {
    /// Reads the head of a caller's request that arrived at `arrival`.
    fn read_request(head: &request::Parts, arrival: Instant) -> RequestHead;

    /// The headers of a call to an endpoint: the caller's without those that belong to its connection or that
    /// only the gateway may set, and those of `call`. Written at `now`.
    fn call_headers(caller: &HeaderMap, call: &CallHead<'_>, now: Instant) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn read_answer(head: &response::Parts) -> AnswerHead;

    /// The headers of an answer that pass on to the caller.
    fn answer_headers(head: &response::Parts) -> HeaderMap;

    /// The text of a delay after which a caller may come back.
    fn retry_after(delay: Duration) -> HeaderValue;

    /// The path at which callers ask which gateways to use.
    fn is_entry_query(path: &str) -> bool;

    /// The answer to the callers' question which gateways to use, and for how long.
    fn entry_answer(addresses: &[SocketAddr], validity: Duration) -> Bytes;
}
