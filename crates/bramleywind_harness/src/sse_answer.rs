use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::Value;

/// How a stream of server-sent events ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseEnd {
    /// With `[DONE]`: the answer is whole.
    Done,
    /// With an error event, whose body this is.
    Error(Value),
    /// Without either: the stream was cut.
    Cut,
}

/// A streamed answer, as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseAnswer {
    /// The content of the chunks, in order.
    pub text: String,
    /// How many chunks had content.
    pub chunks: usize,
    /// The usage that the last chunk reported.
    pub usage: Option<Value>,
    /// How the stream ended.
    pub end: SseEnd,
}

impl SseAnswer {
    /// An answer of which nothing has arrived.
    pub fn empty() -> Self {
        Self { text: String::new(), chunks: 0, usage: None, end: SseEnd::Cut }
    }

    /// Reads a response to its end. `on_chunk` is told how many content chunks have arrived.
    pub async fn read(response: cyper::Response, mut on_chunk: impl FnMut(usize)) -> Self {
        let mut answer = Self::empty();
        let mut pending = Vec::new();
        let mut body = response.bytes_stream();
        while let Some(Ok(bytes)) = body.next().await {
            answer.take_bytes(&mut pending, &bytes);
            on_chunk(answer.chunks);
        }
        answer
    }

    fn take_bytes(&mut self, pending: &mut Vec<u8>, bytes: &Bytes) {
        pending.extend_from_slice(bytes);
        while let Some(end) = pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = pending.drain(..end + 2).collect();
            self.take_event(&String::from_utf8_lossy(&event));
        }
    }

    fn take_event(&mut self, event: &str) {
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
