use bramleywind_types::TokenCount;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What is known of a request to a model before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptProfile {
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

/// A beginning of a prompt that ends with one of its parts. Equal prefixes have equal hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Names all its parts.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

impl PromptProfile {
    /// The prefixes of the prompt, the shortest first.
    pub fn prefixes(&self) -> Vec<PromptPrefix> {
        let empty = PromptPrefix { hash: 0, tokens: 0 };
        let longer = |beginning: &mut PromptPrefix, part: &PromptPart| {
            let hash = xxh3_64_with_seed(&part.id.to_le_bytes(), beginning.hash);
            *beginning =
                PromptPrefix { hash, tokens: beginning.tokens + u64::from(part.tokens) };
            Some(*beginning)
        };
        self.parts.iter().scan(empty, longer).collect()
    }

    /// The most tokens that the request can come to.
    pub fn max_tokens(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(self.output_limit)
    }
}
