use bramleywind_types::TokenCount;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::PartId;

/// The properties of a request to a model that are known before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptProfile {
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The maximum length of the answer.
    pub output_limit: TokenCount,
    /// The parts of the prompt in order. All parts but the last are shared between requests.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt that an engine may hold in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: PartId,
    /// The length of the part in tokens.
    pub tokens: u32,
}

/// A prefix of a prompt that ends at the end of one of its parts. Equal prefixes have equal hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// The hash over the ids of all parts of the prefix.
    pub hash: u64,
    /// The length of the prefix in tokens.
    pub tokens: u64,
}

impl PromptProfile {
    /// Returns the prefixes of the prompt, the shortest one first.
    pub fn prefixes(&self) -> Vec<PromptPrefix> {
        let empty = PromptPrefix { hash: 0, tokens: 0 };
        let extend = |prefix: &mut PromptPrefix, part: &PromptPart| {
            let hash = xxh3_64_with_seed(&part.id.0.to_le_bytes(), prefix.hash);
            *prefix = PromptPrefix { hash, tokens: prefix.tokens + u64::from(part.tokens) };
            Some(*prefix)
        };
        self.parts.iter().scan(empty, extend).collect()
    }

    /// Returns the parts that the prompt may share with other requests: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let count = self.parts.len().saturating_sub(1);
        self.parts.iter().take(count).map(|part| part.id)
    }

    /// Returns the maximum number of tokens that the request can use.
    pub fn max_tokens(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(self.output_limit)
    }
}
