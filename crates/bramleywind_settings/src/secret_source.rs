use std::path::Path;

use snafu::Snafu;

use crate::Secret;

/// The location of a secret. A settings file contains locations, never the secrets themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SecretLocation {
    /// A file. Whitespace around its content is ignored.
    File(Box<Path>),
    /// An environment variable. Whitespace around its value is ignored.
    Environment(Box<str>),
}

/// The reason why a secret could not be read. The message names the location and never the content.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SecretError {
    /// The file could not be read.
    #[snafu(display(
        "the file `{path}` cannot be read: {reason}; create it with the secret as its content"
    ))]
    File {
        /// The path of the file.
        path: Box<str>,
        /// The error message of the operating system.
        reason: Box<str>,
    },
    /// The environment variable is not set, or not UTF-8.
    #[snafu(display(
        "the environment variable `{name}` is not set or not UTF-8; set it to the secret"
    ))]
    Environment {
        /// The name of the variable.
        name: Box<str>,
    },
}

/// A source of secrets. Tests replace it with their own.
pub trait SecretSource {
    /// Reads the secret at a location.
    ///
    /// # Errors
    ///
    /// Returns [`SecretError`] if there is no secret at the location.
    fn read(&self, location: &SecretLocation) -> Result<Secret, SecretError>;
}

/// Reads secrets from files and from the environment of this process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessSecrets;

impl SecretSource for ProcessSecrets {
    fn read(&self, location: &SecretLocation) -> Result<Secret, SecretError> {
        match location {
            SecretLocation::File(path) => match std::fs::read_to_string(path) {
                Ok(text) => Ok(Secret::new(text.trim())),
                Err(error) => Err(SecretError::File {
                    path: path.display().to_string().into(),
                    reason: error.to_string().into(),
                }),
            },
            SecretLocation::Environment(name) => match std::env::var(name.as_ref()) {
                Ok(text) => Ok(Secret::new(text.trim())),
                Err(_) => Err(SecretError::Environment { name: name.clone() }),
            },
        }
    }
}
