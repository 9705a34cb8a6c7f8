use bramleywind_types::TokenCount;
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::{EventFields, ReportedUsage};

/// The data of the event that ends a complete stream.
pub const DONE_DATA: &[u8] = b"[DONE]";

/// A parsed event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk of the answer, which counts as one token.
    Token {
        /// The text of the chunk, used when the answer is collected instead of streamed.
        text: Box<str>,
        /// Why the answer ends with this chunk, if it does.
        finish_reason: Option<Box<str>>,
    },
    /// The token counts of this call to the engine.
    Usage {
        /// The token counts.
        usage: ReportedUsage,
        /// Why the answer ends, if the event says so.
        finish_reason: Option<Box<str>>,
    },
    /// A chunk that carries neither text nor usage, such as a role or a finish reason.
    Other {
        /// Why the answer ends, if the event says so.
        finish_reason: Option<Box<str>>,
    },
    /// A comment or an event without data.
    Empty,
    /// The answer is complete.
    Done,
    /// The engine reported an error, or sent data that is not a valid chunk.
    Failed,
}

#[derive(Deserialize)]
struct ChunkBody {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    #[serde(default)]
    finish_reason: Option<Box<str>>,
}

#[derive(Deserialize, Default)]
struct ChunkDelta {
    #[serde(default)]
    content: Option<Box<str>>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    #[serde(default)]
    prompt_tokens: Option<u64>,
    #[serde(default)]
    completion_tokens: Option<u64>,
    #[serde(default)]
    total_tokens: Option<u64>,
}

impl EngineEvent {
    /// Parses one event.
    ///
    /// ```
    /// use bramleywind_router::EngineEvent;
    ///
    /// assert_eq!(EngineEvent::of(b"data: [DONE]\n\n"), EngineEvent::Done);
    /// let chunk = br#"data: {"choices":[{"delta":{"content":"pearl"}}]}"#;
    /// assert!(matches!(EngineEvent::of(chunk), EngineEvent::Token { .. }));
    /// ```
    pub fn of(event: &[u8]) -> Self {
        let fields = EventFields::of(event);
        if fields.name == Some(b"error") {
            return Self::Failed;
        }
        let Some(data) = fields.data else { return Self::Empty };
        if data == DONE_DATA {
            return Self::Done;
        }
        let Ok(body) = serde_json::from_slice::<ChunkBody>(data) else { return Self::Failed };
        if body.error.is_some() {
            return Self::Failed;
        }
        let choice = body.choices.into_iter().next();
        if let Some(usage) = body.usage {
            let finish_reason = choice.and_then(|choice| choice.finish_reason);
            return Self::Usage { usage: usage.into(), finish_reason };
        }
        let Some(choice) = choice else { return Self::Other { finish_reason: None } };
        match choice.delta.content {
            Some(text) if !text.is_empty() => {
                Self::Token { text, finish_reason: choice.finish_reason }
            }
            _ => Self::Other { finish_reason: choice.finish_reason },
        }
    }
}

impl From<ChunkUsage> for ReportedUsage {
    fn from(usage: ChunkUsage) -> Self {
        let parts = usage
            .prompt_tokens
            .unwrap_or_default()
            .saturating_add(usage.completion_tokens.unwrap_or_default());
        Self {
            total: TokenCount(usage.total_tokens.unwrap_or(parts)),
            completion: usage.completion_tokens.map(TokenCount),
        }
    }
}
