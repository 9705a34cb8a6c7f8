use std::{fmt, str::FromStr};

use bramleywind_types::NameError;
use sha2::{Digest, Sha256};

const HASH_BYTES: usize = 32;

/// The SHA-256 hash of a bearer key. Bearer keys are long and random, so the hash needs no salt.
///
/// ```
/// use bramleywind_config::KeyHash;
///
/// let hash = KeyHash::of("example-key");
/// assert_eq!(hash.to_string().parse(), Ok(hash));
/// ```
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
#[schemars(with = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the bytes of the hash.
    pub fn as_bytes(&self) -> &[u8; HASH_BYTES] {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| NameError::NotHex {
            kind: "KeyHash",
            value: text.into(),
            digits: 2 * HASH_BYTES,
        })?;
        Ok(Self(bytes))
    }
}

impl TryFrom<Box<str>> for KeyHash {
    type Error = NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for Box<str> {
    fn from(hash: KeyHash) -> Self {
        hash.to_string().into()
    }
}
