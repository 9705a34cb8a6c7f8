use bramleywind_types::TokenCount;

/// What is known of a request to a model before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptShape {
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The most tokens that the answer may have.
    pub output_limit: TokenCount,
    /// The parts of the prompt in order. All but the last are shared between requests.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt, which an engine may hold in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the text of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl PromptShape {
    /// The most tokens that the request can come to.
    pub fn most_tokens(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(self.output_limit)
    }
}
