//! Helpers that the tests of the stand-ins share.

#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "a failed unwrap fails the test; not every test uses all helpers"
)]

use std::{future::Future, net::SocketAddr, time::Duration};

use bramleywind_standins::{ChatAnswer, ChatMessage, ChatRequest};
use futures_util::StreamExt as _;
use http::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

/// Time limit of each test case.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a test case on its own runtime, within [`TEST_TIMEOUT`].
pub fn block_on<T>(case: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(compio::time::timeout(TEST_TIMEOUT, case)).unwrap()
}

/// Waits until a condition holds; the time limit of the test case bounds the wait.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Returns a loopback address whose port 0 picks a free port.
pub fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Creates a client that shares no connections with other clients.
pub fn client() -> cyper::Client {
    cyper::Client::builder().no_proxy().build().unwrap()
}

/// Sends a JSON document.
pub async fn send_json<T: Serialize>(
    method: Method,
    address: SocketAddr,
    path: &str,
    document: &T,
) -> cyper::Result<cyper::Response> {
    client().request(method, format!("http://{address}{path}"))?.json(document)?.send().await
}

/// Requests a JSON document.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let url = format!("http://{address}{path}");
    client().get(url).unwrap().send().await.unwrap().json().await.unwrap()
}

/// Builds a streamed request for `max_tokens` tokens.
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

/// The events that were received of a streamed answer.
#[derive(Debug, Default)]
pub struct StreamedAnswer {
    /// The text of each token.
    pub tokens: Vec<String>,
    /// The last event that is not a token.
    pub last: Option<ChatAnswer>,
    /// Whether the final `[DONE]` event was received.
    pub is_done: bool,
}

/// Sends a streamed request and reads its answer to the end, or to where the connection broke.
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
    // A truncated event has no empty line after it and is ignored.
    let received = String::from_utf8(buffer).unwrap();
    let complete = received.rsplit_once("\n\n").map_or("", |(complete, _)| complete);
    for event in complete.split("\n\n").filter(|event| !event.is_empty()) {
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
