use std::fmt;

/// A secret text that must never be printed. It appears as `hidden` in logs, dumps and debug output.
///
/// ```
/// use bramleywind_settings::Secret;
///
/// let secret = Secret::new("correct horse");
/// assert_eq!(format!("{secret:?}"), "Secret(hidden)");
/// assert_eq!(secret.expose(), "correct horse");
/// ```
#[derive(Clone)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps a secret text.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text. Compare it in constant time only.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl serde::Serialize for Secret {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str("hidden")
    }
}
