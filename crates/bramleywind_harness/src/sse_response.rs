use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::Value;

/// How a stream of server-sent events ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseEnd {
    /// The stream ended with `[DONE]`, so the response is complete.
    Done,
    /// The stream ended with an error event, which has this body.
    Error(Value),
    /// The stream ended without either, so the response is truncated.
    Cut,
}

/// A streamed response, as a caller receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseResponse {
    /// The concatenated content of the chunks.
    pub text: String,
    /// The number of chunks with content.
    pub chunks: usize,
    /// The usage that the last chunk reported.
    pub usage: Option<Value>,
    /// How the stream ended.
    pub end: SseEnd,
}

impl SseResponse {
    /// Returns a response of which nothing has arrived.
    pub fn empty() -> Self {
        Self { text: String::new(), chunks: 0, usage: None, end: SseEnd::Cut }
    }

    /// Reads a response to its end. `on_chunk` is called with the number of content chunks that have arrived.
    pub async fn read(http_response: cyper::Response, mut on_chunk: impl FnMut(usize)) -> Self {
        let mut sse_response = Self::empty();
        let mut unparsed = Vec::new();
        let mut body = http_response.bytes_stream();
        while let Some(Ok(bytes)) = body.next().await {
            sse_response.push_bytes(&mut unparsed, &bytes);
            on_chunk(sse_response.chunks);
        }
        sse_response
    }

    fn push_bytes(&mut self, unparsed: &mut Vec<u8>, bytes: &Bytes) {
        unparsed.extend_from_slice(bytes);
        while let Some(end) = unparsed.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = unparsed.drain(..end + 2).collect();
            self.apply_event(&String::from_utf8_lossy(&event));
        }
    }

    fn apply_event(&mut self, event: &str) {
        let is_error = event.lines().any(|line| line == "event: error");
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return;
        };
        if data == "[DONE]" {
            self.end = SseEnd::Done;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if is_error {
            self.end = SseEnd::Error(value);
            return;
        }
        if let Some(content) = value["choices"][0]["delta"]["content"].as_str()
            && !content.is_empty()
        {
            self.text.push_str(content);
            self.chunks += 1;
        }
        if value["usage"].is_object() {
            self.usage = Some(value["usage"].clone());
        }
    }
}
