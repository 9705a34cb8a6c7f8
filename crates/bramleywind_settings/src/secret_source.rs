use std::path::Path;

use snafu::Snafu;

use crate::Secret;

/// Where a secret is to be found. Secrets themselves never stand in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SecretLocation {
    /// A file; white space around its content is ignored.
    File(Box<Path>),
    /// An environment variable.
    Environment(Box<str>),
}

/// Why a secret could not be read. The message names its place and never its content.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SecretError {
    /// The file could not be read.
    #[snafu(display("the file `{path}` cannot be read: {reason}; create it with the secret"))]
    File {
        /// The file.
        path: Box<str>,
        /// The operating system's reason.
        reason: Box<str>,
    },
    /// The environment variable is not set, or not UTF-8.
    #[snafu(display("the environment variable `{name}` is not set; set it to the secret"))]
    Environment {
        /// The variable.
        name: Box<str>,
    },
}

/// Reads secrets. Tests use a source of their own.
pub trait SecretSource {
    /// Reads the secret at a location.
    ///
    /// # Errors
    ///
    /// [`SecretError`] if there is nothing to read at the location.
    fn read(&self, location: &SecretLocation) -> Result<Secret, SecretError>;
}

/// The files and the environment of this process.
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
