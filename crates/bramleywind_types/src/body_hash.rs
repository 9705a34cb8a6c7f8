use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};

use crate::NameError;

const HASH_BYTES: usize = 32;

/// The SHA-256 hash of a request. It distinguishes a repeated request from a different one under the same key.
///
/// ```
/// use bramleywind_types::BodyHash;
///
/// let hash = BodyHash::of(&[b"POST /services/orders/new", b"{}"]);
/// assert_eq!(hash.to_string().parse(), Ok(hash));
/// ```
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct BodyHash([u8; HASH_BYTES]);

impl BodyHash {
    /// Hashes the parts in order, each preceded by its length so that moving a boundary changes the hash.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Debug for BodyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BodyHash({self})")
    }
}

impl fmt::Display for BodyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for BodyHash {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| NameError::NotHex {
            kind: "BodyHash",
            value: text.into(),
            digits: 2 * HASH_BYTES,
        })?;
        Ok(Self(bytes))
    }
}

impl TryFrom<Box<str>> for BodyHash {
    type Error = NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<BodyHash> for Box<str> {
    fn from(hash: BodyHash) -> Self {
        hash.to_string().into()
    }
}
