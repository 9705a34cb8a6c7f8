//! The documents of the chat-completions protocol. They are used together, so they stand in one file.

use bramleywind_macros::domain_type;

/// The most tokens of an answer if the request does not say.
fn default_max_tokens() -> u32 {
    16
}

/// One message of a conversation.
#[domain_type]
pub struct ChatMessage {
    /// Who says it.
    pub role: Box<str>,
    /// What is said.
    pub content: Box<str>,
}

/// A request for a completion.
#[domain_type]
pub struct ChatRequest {
    /// The model.
    pub model: Box<str>,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// The most tokens of the whole answer, those before `resume_from` included.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// How many tokens of the answer the caller already has.
    #[serde(default)]
    pub resume_from: u32,
    /// Requests with a higher priority leave the queue first.
    #[serde(default)]
    pub priority: i32,
    /// The caller's name for the request.
    #[serde(default)]
    pub request_id: Option<Box<str>>,
}

/// The tokens that a request used.
#[domain_type]
#[derive(Copy)]
pub struct ChatUsage {
    /// Words of the messages.
    pub prompt_tokens: u64,
    /// Tokens that this call generated, without those before `resume_from`.
    pub completion_tokens: u64,
}

/// An answer, or one event of a streamed one.
#[domain_type]
pub struct ChatAnswer {
    /// The request's id.
    pub id: Box<str>,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: Box<str>,
    /// Always zero, so that answers can be compared.
    pub created: u64,
    /// The model.
    pub model: Box<str>,
    /// The usage, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
    /// One choice. The last field, so that an event's content is near its end.
    pub choices: Vec<ChatChoice>,
}

/// The text of an answer or event.
#[domain_type]
pub struct ChatChoice {
    /// Always zero.
    pub index: u32,
    /// The text, in an event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// The text, in an answer that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Why the answer ends: `stop` or `length`.
    pub finish_reason: Option<Box<str>>,
}

/// A piece of a streamed answer.
#[domain_type]
pub struct ChatDelta {
    /// The token's text; absent in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Box<str>>,
}
