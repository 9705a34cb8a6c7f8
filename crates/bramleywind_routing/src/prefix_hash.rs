use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// The number of leading bytes of a prompt that identify its prefix. They are more than the greeting of a usual system
/// prompt, and few enough that later turns of a conversation keep the same prefix.
const PREFIX_BYTES: usize = 1024;

/// A hash of the beginning of a prompt, which engines cache.
///
/// ```
/// use bramleywind_routing::PrefixHash;
///
/// assert_eq!(PrefixHash::of(b"read this history"), PrefixHash::of(b"read this history"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Hashes the first 1,024 bytes of a prompt.
    pub fn of(prompt: &[u8]) -> Self {
        Self(xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]))
    }

    /// Returns the rendezvous hash of the prefix and an endpoint name, so that each prefix ranks the endpoints in its
    /// own order.
    pub(crate) fn rank(self, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.0)
    }
}

impl fmt::Display for PrefixHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
