use std::fmt;

use snafu::{Snafu, ensure};

/// Minimum length of the secret, in bytes. Anyone who can connect receives a proof that is computed with the
/// secret, so it must not be guessable.
pub const MIN_SECRET_BYTES: usize = 16;

/// Error for a secret that is too short.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "fleet secret has {length} bytes; generate one of at least {MIN_SECRET_BYTES} random bytes"
))]
pub struct SecretError {
    length: usize,
}

/// The secret that all routers of a fleet share. Its `Debug` form hides the bytes.
///
/// ```
/// use bramleywind_peer::FleetSecret;
///
/// let secret = FleetSecret::new(b"0123456789abcdef".to_vec()).unwrap();
/// assert_eq!(format!("{secret:?}"), "FleetSecret(..)");
/// assert!(FleetSecret::new(b"short".to_vec()).is_err());
/// ```
#[derive(Clone)]
pub struct FleetSecret(Box<[u8]>);

impl FleetSecret {
    /// Creates a secret from its bytes.
    ///
    /// # Errors
    ///
    /// Fails if there are fewer bytes than [`MIN_SECRET_BYTES`].
    pub fn new(bytes: Vec<u8>) -> Result<Self, SecretError> {
        ensure!(bytes.len() >= MIN_SECRET_BYTES, SecretSnafu { length: bytes.len() });
        Ok(Self(bytes.into()))
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}
