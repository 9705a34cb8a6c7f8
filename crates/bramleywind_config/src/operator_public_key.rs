use std::{fmt, str::FromStr};

use bramleywind_types::NameError;
use ed25519_dalek::{PUBLIC_KEY_LENGTH, VerifyingKey};

/// The Ed25519 public key with which routers verify configurations, written as 64 hexadecimal digits.
///
/// ```
/// use bramleywind_config::{OperatorPublicKey, OperatorSigningKey};
///
/// let public_key = OperatorSigningKey::from_seed([7; 32]).public_key();
/// assert_eq!(public_key.to_string().parse::<OperatorPublicKey>(), Ok(public_key));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct OperatorPublicKey(VerifyingKey);

impl OperatorPublicKey {
    /// Returns the key for Ed25519 operations.
    pub fn verifying_key(&self) -> &VerifyingKey {
        &self.0
    }
}

impl From<VerifyingKey> for OperatorPublicKey {
    fn from(key: VerifyingKey) -> Self {
        Self(key)
    }
}

impl fmt::Debug for OperatorPublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OperatorPublicKey({self})")
    }
}

impl fmt::Display for OperatorPublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.as_bytes()))
    }
}

impl FromStr for OperatorPublicKey {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || NameError::NotHex {
            kind: "OperatorPublicKey",
            value: text.into(),
            digits: 2 * PUBLIC_KEY_LENGTH,
        };
        let mut bytes = [0; PUBLIC_KEY_LENGTH];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| error())?;
        VerifyingKey::from_bytes(&bytes).map(Self).map_err(|_| error())
    }
}

impl TryFrom<Box<str>> for OperatorPublicKey {
    type Error = NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<OperatorPublicKey> for Box<str> {
    fn from(key: OperatorPublicKey) -> Self {
        key.to_string().into()
    }
}
