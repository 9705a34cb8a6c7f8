use std::{fmt, str::FromStr};

use crate::NameError;

/// The longest idempotency key, in bytes. The limit is small because the store keeps keys for a day.
const MAX_KEY_BYTES: usize = 128;

/// The value of the `Idempotency-Key` header, chosen by a caller.
///
/// ```
/// use bramleywind_types::IdempotencyKey;
///
/// let key: IdempotencyKey = "order-2026-12-04/17".parse().unwrap();
/// assert_eq!(key.as_str(), "order-2026-12-04/17");
/// assert!("two words".parse::<IdempotencyKey>().is_err());
/// ```
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let kind = "IdempotencyKey";
        if text.is_empty() {
            return Err(NameError::Empty { kind });
        }
        if text.len() > MAX_KEY_BYTES {
            let value = text.chars().take(64).collect::<String>().into();
            return Err(NameError::TooLong {
                kind,
                value,
                length: text.len(),
                limit: MAX_KEY_BYTES,
            });
        }
        match text.chars().find(|character| !character.is_ascii_graphic()) {
            None => Ok(Self(text.into())),
            Some(character) => Err(NameError::BadCharacter {
                kind,
                value: text.escape_default().to_string().into(),
                character,
                allowed: "use visible ASCII characters without spaces",
            }),
        }
    }
}

impl TryFrom<Box<str>> for IdempotencyKey {
    type Error = NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<IdempotencyKey> for Box<str> {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}
