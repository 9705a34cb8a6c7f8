//! Checks bearer keys in a time that does not depend on how much of a key is correct.

use bramleywind_config::KeyHash;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Returns the index of the hash that belongs to `key`. Every hash is compared in full, so that the time does
/// not depend on the match.
///
/// ```
/// use bramleywind_config::KeyHash;
/// use bramleywind_router::find_key;
///
/// let hashes = [KeyHash::of("one"), KeyHash::of("two")];
/// assert_eq!(find_key(&hashes, "two"), Some(1));
/// assert_eq!(find_key(&hashes, "three"), None);
/// ```
pub fn find_key(hashes: &[KeyHash], key: &str) -> Option<usize> {
    let key_hash = KeyHash::of(key);
    let mut found = u64::MAX;
    for (index, hash) in (0u64..).zip(hashes) {
        let is_equal: Choice = hash.as_bytes().ct_eq(key_hash.as_bytes());
        found = u64::conditional_select(&found, &index, is_equal);
    }
    usize::try_from(found).ok().filter(|index| *index < hashes.len())
}

/// Returns true if two secrets are equal. The time reveals at most their lengths.
pub fn secrets_match(given: &str, expected: &str) -> bool {
    given.as_bytes().ct_eq(expected.as_bytes()).into()
}

/// Returns the key of an `authorization: Bearer ...` header.
pub fn bearer_key(headers: &http::HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
