use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::chat_messages::ChatMessage;

/// The words that answers consist of. None needs escaping in JSON.
const WORDS: [&str; 16] = [
    " river", " stone", " kettle", " north", " copper", " sail", " meadow", " lantern", " harbour",
    " thread", " winter", " saddle", " orchard", " signal", " timber", " gravel",
];

/// The generator of the text of an answer. Token `n` depends only on the messages and on `n`, so that tests can
/// compare a resumed stream with an uninterrupted one.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenText {
    seed: u64,
}

impl TokenText {
    pub(super) fn new(messages: &[ChatMessage]) -> Self {
        let mut hasher = Xxh3::new();
        for message in messages {
            hasher.update(message.role.as_bytes());
            hasher.update(&[0]);
            hasher.update(message.content.as_bytes());
            hasher.update(&[0]);
        }
        Self { seed: hasher.digest() }
    }

    pub(super) fn token(self, index: u32) -> &'static str {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        WORDS[(hash % WORDS.len() as u64) as usize]
    }
}
