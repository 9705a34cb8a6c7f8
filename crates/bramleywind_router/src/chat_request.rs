use std::collections::BTreeMap;

use bramleywind_routing::{PrefixHash, RouteRequest};
use bramleywind_types::{ModelId, Refusal, RefusalCode, RepeatAdvice, TokenCount};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Default of `max_tokens`, the maximum length of an answer in tokens.
pub const DEFAULT_ANSWER_TOKENS: u32 = 512;

/// Bytes of prompt text per estimated token. English text has about four; a smaller divisor makes the
/// estimate larger, so that the usage reported by an engine seldom exceeds the reservation.
const PROMPT_BYTES_PER_TOKEN: usize = 3;

/// Tokens that each message adds to the estimate for its role and separators.
const TOKENS_PER_MESSAGE: u64 = 4;

/// A chat completion request whose body has been validated.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// The requested model.
    pub model: ModelId,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    /// The maximum number of answer tokens.
    pub max_tokens: u32,
    /// The estimated number of tokens of the prompt.
    pub prompt_estimate: TokenCount,
    /// The contents of all messages, joined, from which the prefix hash is computed. Engines cache by prefix.
    pub prompt_text: Box<str>,
    fields: BTreeMap<Box<str>, Box<RawValue>>,
}

#[derive(Deserialize)]
struct ChatBody<'body> {
    model: ModelId,
    #[serde(borrow)]
    messages: Vec<ChatMessage<'body>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Deserialize)]
struct ChatMessage<'body> {
    #[serde(rename = "role")]
    _role: Box<str>,
    #[serde(borrow, default)]
    content: Option<&'body RawValue>,
}

impl ChatRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names what is wrong with the body.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let shape: ChatBody<'_> = serde_json::from_slice(body)
            .map_err(|error| invalid_request(format!("the body is not a chat request: {error}")))?;
        let fields = serde_json::from_slice(body)
            .map_err(|error| invalid_request(format!("the body is not a JSON object: {error}")))?;
        if shape.messages.is_empty() {
            return Err(invalid_request("`messages` is empty; send at least one message"));
        }
        if shape.n.is_some_and(|count| count != 1) {
            return Err(invalid_request("`n` must be 1; send a request for each answer"));
        }
        if shape.max_tokens == Some(0) {
            return Err(invalid_request("`max_tokens` must be at least 1"));
        }
        let contents = || shape.messages.iter().filter_map(|message| message.content);
        let prompt_estimate = contents()
            .map(|content| content.get().len().div_ceil(PROMPT_BYTES_PER_TOKEN) as u64)
            .map(|tokens| TokenCount(tokens.saturating_add(TOKENS_PER_MESSAGE)))
            .sum();
        Ok(Self {
            model: shape.model,
            stream: shape.stream.unwrap_or(false),
            max_tokens: shape.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
            prompt_estimate,
            prompt_text: contents().map(RawValue::get).collect::<String>().into(),
            fields,
        })
    }

    /// Returns the properties of the request that the placement policy uses.
    pub fn route(&self) -> RouteRequest {
        RouteRequest {
            prefix: Some(PrefixHash::of(self.prompt_text.as_bytes())),
            prompt_tokens: u32::try_from(self.prompt_estimate.0).unwrap_or(u32::MAX),
            answer_tokens: self.max_tokens,
        }
    }

    /// Returns the maximum cost of the request in tokens, or `None` on overflow.
    pub fn reservation(&self) -> Option<TokenCount> {
        self.prompt_estimate.checked_add(TokenCount(u64::from(self.max_tokens)))
    }

    /// Returns the request body for an engine. It always asks for a stream, so that an answer can be resumed
    /// and its tokens counted. `delivered` is the number of answer tokens that the caller already has.
    pub fn engine_body(&self, delivered: TokenCount) -> Bytes {
        let mut fields = self.fields.clone();
        let mut set_field = |name: &str, value: String| {
            if let Ok(value) = RawValue::from_string(value) {
                fields.insert(name.into(), value);
            }
        };
        set_field("stream", "true".to_owned());
        set_field("max_tokens", self.max_tokens.to_string());
        if delivered > TokenCount(0) {
            set_field("resume_from", delivered.to_string());
        }
        // Serializing a map of valid JSON values cannot fail.
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }
}

fn invalid_request(message: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(RefusalCode::InvalidRequest, message, RepeatAdvice::Never)
}
