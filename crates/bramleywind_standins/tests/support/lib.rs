//! What the tests of the stand-ins share.

#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "a failed unwrap fails the test; not every test uses all"
)]

use std::{future::Future, net::SocketAddr, time::Duration};

use bramleywind_standins::{ChatAnswer, ChatMessage, ChatRequest};
use futures_util::StreamExt as _;
use http::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

/// The longest that any single case may take.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a case on a runtime of its own, within its limit.
pub fn block_on<T>(case: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(compio::time::timeout(TEST_TIMEOUT, case)).unwrap()
}

/// Waits until a condition holds; the case's limit bounds it.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// An address with a free port.
pub fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// A client that shares no connection with any other.
pub fn client() -> cyper::Client {
    cyper::Client::builder().no_proxy().build().unwrap()
}

/// Sends a document.
pub async fn send_json<T: Serialize>(
    method: Method,
    address: SocketAddr,
    path: &str,
    document: &T,
) -> cyper::Result<cyper::Response> {
    client().request(method, format!("http://{address}{path}"))?.json(document)?.send().await
}

/// Gets a document.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let url = format!("http://{address}{path}");
    client().get(url).unwrap().send().await.unwrap().json().await.unwrap()
}

/// A streamed request for `max_tokens` tokens.
pub fn chat_request(content: &str, max_tokens: u32) -> ChatRequest {
    ChatRequest {
        model: "standin".into(),
        messages: vec![ChatMessage { role: "user".into(), content: content.into() }],
        max_tokens,
        stream: true,
        resume_from: 0,
        priority: 0,
        request_id: Some("r1".into()),
    }
}

/// What came of a streamed answer.
#[derive(Debug, Default)]
pub struct StreamedAnswer {
    /// Each token.
    pub tokens: Vec<String>,
    /// The last event that is not a token.
    pub last: Option<ChatAnswer>,
    /// Whether `[DONE]` came.
    pub is_done: bool,
}

/// Reads a streamed answer to its end, or to where its connection broke.
pub async fn read_stream(address: SocketAddr, request: &ChatRequest) -> StreamedAnswer {
    let mut text = StreamedAnswer::default();
    let Ok(response) = send_json(Method::POST, address, "/v1/chat/completions", request).await
    else {
        return text;
    };
    assert_eq!(response.status(), StatusCode::OK);
    let mut buffer = Vec::new();
    let mut chunks = std::pin::pin!(response.bytes_stream());
    while let Some(Ok(chunk)) = chunks.next().await {
        buffer.extend_from_slice(&chunk);
    }
    // An event that was cut off has no empty line after it, and no token is taken from it.
    let received = String::from_utf8(buffer).unwrap();
    let whole = received.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    for event in whole.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ").unwrap();
        if data == "[DONE]" {
            text.is_done = true;
            continue;
        }
        let mut answer: ChatAnswer = serde_json::from_str(data).unwrap();
        match answer.choices[0].delta.take().unwrap().content {
            Some(token) => text.tokens.push(token.into()),
            None => text.last = Some(answer),
        }
    }
    text
}
