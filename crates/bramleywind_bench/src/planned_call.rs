use std::time::Duration;

use serde_json::json;

use crate::BENCH_MODEL;

/// A call that a load generator sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// The scheduled time, from the beginning of the run; unused in a closed loop.
    pub offset: Duration,
    /// The index of the target address.
    pub target: usize,
    /// The workspace that makes the call.
    pub workspace: Box<str>,
    /// The text of the prompt.
    pub prompt: Box<str>,
    /// The number of tokens to request.
    pub answer_tokens: u32,
}

impl PlannedCall {
    /// Returns the JSON body of the request.
    pub fn body(&self) -> Vec<u8> {
        let body = json!({
            "model": BENCH_MODEL, "stream": true, "max_tokens": self.answer_tokens,
            "messages": [{ "role": "user", "content": &*self.prompt }],
        });
        body.to_string().into_bytes()
    }

    /// Returns the value of the `Authorization` header for the workspace.
    pub fn bearer(&self) -> String {
        format!("Bearer {}-bench-key", self.workspace)
    }
}
