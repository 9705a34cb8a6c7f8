use std::fmt;

use ed25519_dalek::{SECRET_KEY_LENGTH, Signer, SigningKey};
use snafu::Snafu;

use crate::{ConfigSignature, OperatorPublicKey};

/// The Ed25519 private key of the operators. Its `Debug` form hides the key; [`OperatorSigningKey::to_hex`] is only
/// for writing the key file.
///
/// ```
/// use bramleywind_config::OperatorSigningKey;
///
/// let key = OperatorSigningKey::from_seed([7; 32]);
/// assert_eq!(format!("{key:?}"), "OperatorSigningKey(hidden)");
/// assert_eq!(OperatorSigningKey::from_hex(&key.to_hex()).unwrap().public_key(), key.public_key());
/// ```
#[derive(Clone)]
pub struct OperatorSigningKey(SigningKey);

/// A private key could not be parsed. The error omits the text because it may contain most of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the private key is not 64 hexadecimal digits; generate a key pair with `bramleywind key generate`"
))]
pub struct InvalidPrivateKey;

impl OperatorSigningKey {
    /// Creates a key from a 32-byte seed, which must come from a cryptographically secure random source.
    pub fn from_seed(seed: [u8; SECRET_KEY_LENGTH]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Parses a key from hexadecimal digits. Surrounding whitespace is ignored.
    ///
    /// # Errors
    ///
    /// [`InvalidPrivateKey`] if the text is not 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self, InvalidPrivateKey> {
        let mut seed = [0; SECRET_KEY_LENGTH];
        hex::decode_to_slice(text.trim(), &mut seed).map_err(|_| InvalidPrivateKey)?;
        Ok(Self::from_seed(seed))
    }

    /// Returns the secret as 64 hexadecimal digits, for writing it to the key file.
    pub fn to_hex(&self) -> Box<str> {
        hex::encode(self.0.as_bytes()).into()
    }

    /// Returns the public key of the pair.
    pub fn public_key(&self) -> OperatorPublicKey {
        self.0.verifying_key().into()
    }

    pub(crate) fn sign(&self, message: &[u8]) -> ConfigSignature {
        self.0.sign(message).into()
    }
}

impl fmt::Debug for OperatorSigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorSigningKey(hidden)")
    }
}
