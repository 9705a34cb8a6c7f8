//! `key hash`: the hash of a bearer key. The key is never given on the command line, where other users of the
//! machine could see it.

use std::{fmt, fs::File, io::Read, path::Path};

use bramleywind_config::KeyHash;
use serde::Serialize;
use snafu::{ResultExt, ensure};

use crate::{
    CommandError, CommandReport,
    command_error::{EmptyKeySnafu, FileUnreadableSnafu},
};

/// The hash of a bearer key.
#[derive(Debug, Serialize)]
pub struct KeyHashReport {
    /// The hash, to be entered in the configuration.
    pub hash: KeyHash,
}

/// Hashes the bearer key in `file` or, without one, the key read from `input`. Surrounding white space is
/// ignored.
///
/// # Errors
///
/// Fails if the key cannot be read or is empty.
pub fn hash_key(file: Option<&Path>, mut input: impl Read) -> Result<KeyHashReport, CommandError> {
    let mut text = String::new();
    let path = file.unwrap_or(Path::new("-"));
    let read = match file {
        Some(path) => File::open(path).and_then(|mut file| file.read_to_string(&mut text)),
        None => input.read_to_string(&mut text),
    };
    read.context(FileUnreadableSnafu { path })?;
    let key = text.trim();
    ensure!(!key.is_empty(), EmptyKeySnafu);
    Ok(KeyHashReport { hash: KeyHash::of(key) })
}

impl fmt::Display for KeyHashReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.hash.fmt(f)
    }
}

impl CommandReport for KeyHashReport {}
