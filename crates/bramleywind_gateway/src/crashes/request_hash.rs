use std::{fmt, str::FromStr};

use bramleywind_types::NameError;
use xxhash_rust::xxh3::Xxh3;

const HEX_DIGITS: usize = 32;

/// A 128-bit hash of the parts of a request.
///
/// It is not cryptographic, so a caller could craft two requests with the same hash. Compare it only together with the
/// workspace.
///
/// ```
/// use bramleywind_gateway::crashes::RequestHash;
///
/// let hash = RequestHash::of(&[b"POST", b"/orders/new", b"{}"]);
/// assert_ne!(hash, RequestHash::of(&[b"POST", b"/orders/", b"new{}"]));
/// assert_eq!(hash.to_string().parse(), Ok(hash));
/// ```
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct RequestHash(u128);

impl RequestHash {
    /// Hashes the parts in order, each preceded by its length so that moving a boundary changes the hash.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// Returns a 64-bit hash of this hash and `extra`.
    pub(super) fn seeded(self, extra: &[u8]) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.0.to_be_bytes());
        hasher.update(extra);
        hasher.digest()
    }
}

impl fmt::Debug for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestHash({self})")
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0HEX_DIGITS$x}", self.0)
    }
}

impl FromStr for RequestHash {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error =
            || NameError::NotHex { kind: "RequestHash", value: text.into(), digits: HEX_DIGITS };
        if text.len() != HEX_DIGITS {
            return Err(error());
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

impl TryFrom<Box<str>> for RequestHash {
    type Error = NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestHash> for Box<str> {
    fn from(hash: RequestHash) -> Self {
        hash.to_string().into()
    }
}
