use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// How much of a prompt identifies its prefix, in bytes. Longer than a usual system prompt's greeting, and
/// short enough that a conversation's later turns keep their prefix.
const PREFIX_BYTES: usize = 1024;

/// Identifies the beginning of a prompt, which engines cache.
///
/// ```
/// use bramleywind_routing::PrefixHash;
///
/// assert_eq!(PrefixHash::of(b"read this history"), PrefixHash::of(b"read this history"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// The hash of a prompt's first 1,024 bytes.
    pub fn of(prompt: &[u8]) -> Self {
        Self(xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]))
    }

    /// Mixes the prefix with a name, so that each prefix ranks endpoints in its own order.
    pub(crate) fn rank(self, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.0)
    }
}

impl fmt::Display for PrefixHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
