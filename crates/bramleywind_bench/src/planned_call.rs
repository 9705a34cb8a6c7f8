use std::time::Duration;

use serde_json::json;

use crate::BENCH_MODEL;

/// One call of a request list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// When it is sent, from the beginning of the run; unused in a closed loop.
    pub offset: Duration,
    /// The index of the address that it is sent to.
    pub target: usize,
    /// The workspace that it belongs to.
    pub workspace: Box<str>,
    /// The prompt.
    pub prompt: Box<str>,
    /// The tokens of the answer.
    pub answer_tokens: u32,
}

impl PlannedCall {
    /// The body of the request.
    pub fn body(&self) -> Vec<u8> {
        let body = json!({
            "model": BENCH_MODEL, "stream": true, "max_tokens": self.answer_tokens,
            "messages": [{ "role": "user", "content": &*self.prompt }],
        });
        body.to_string().into_bytes()
    }

    /// The bearer key of the workspace.
    pub fn bearer(&self) -> String {
        format!("Bearer {}-bench-key", self.workspace)
    }
}
