//! The JSON documents of the chat-completions protocol.

use bramleywind_macros::domain_type;

/// Returns the limit on the tokens of an answer for requests that set none.
fn default_max_tokens() -> u32 {
    16
}

/// One message of a conversation.
#[domain_type]
pub struct ChatMessage {
    /// The role of the author.
    pub role: Box<str>,
    /// The text of the message.
    pub content: Box<str>,
}

/// A request for a chat completion.
#[domain_type]
pub struct ChatRequest {
    /// The name of the model.
    pub model: Box<str>,
    /// The messages of the conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens of the whole answer, including those before `resume_from`.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The number of tokens of the answer that the caller already has.
    #[serde(default)]
    pub resume_from: u32,
    /// Requests with a higher priority leave the queue first.
    #[serde(default)]
    pub priority: i32,
    /// The id of the request, if the caller chose one.
    #[serde(default)]
    pub request_id: Option<Box<str>>,
}

/// The tokens that a request used.
#[domain_type]
#[derive(Copy)]
pub struct ChatUsage {
    /// The tokens of the prompt: the number of words in the messages.
    pub prompt_tokens: u64,
    /// The tokens that this call generated, without those before `resume_from`.
    pub completion_tokens: u64,
}

/// A complete answer, or one event of a streamed answer.
#[domain_type]
pub struct ChatAnswer {
    /// The id of the request.
    pub id: Box<str>,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: Box<str>,
    /// Always zero, so that answers can be compared.
    pub created: u64,
    /// The name of the model.
    pub model: Box<str>,
    /// The token usage; in a stream, only the last event has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
    /// Exactly one choice. This is the last field, so that the content is near the end of an event.
    pub choices: Vec<ChatChoice>,
}

/// The text of an answer or of an event.
#[domain_type]
pub struct ChatChoice {
    /// Always zero.
    pub index: u32,
    /// The text of a streamed event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// The text of an answer that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// The reason why the answer ended: `stop` or `length`.
    pub finish_reason: Option<Box<str>>,
}

/// The text that one event adds to a streamed answer.
#[domain_type]
pub struct ChatDelta {
    /// The text of the token; absent in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Box<str>>,
}
