//! `key generate`: generates the operators' key pair.

use std::{
    ffi::OsString,
    fmt,
    fs::OpenOptions,
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use bramleywind_config::OperatorSigningKey;
use rand::{TryRngCore, rngs::OsRng};
use serde::Serialize;
use snafu::ResultExt;

use crate::{CommandError, CommandReport, command_error::FileUnwritableSnafu};

/// The file mode of the private key, which only its owner may read.
const PRIVATE_KEY_MODE: u32 = 0o600;
const PUBLIC_KEY_MODE: u32 = 0o644;

/// The files of a new key pair. The private key is in its file only and never printed.
#[derive(Debug, Serialize)]
pub struct KeyPairReport {
    /// The path of the private key file.
    pub private_file: PathBuf,
    /// The path of the public key file.
    pub public_file: PathBuf,
    /// The public key, to be entered as `operator_public_key` in the daemon's settings.
    pub public_key: Box<str>,
}

/// Generates a key pair and writes it to two new files.
///
/// # Errors
///
/// Fails if a file exists or cannot be written, or if the system has no random numbers.
pub fn generate_key_pair(name: &Path) -> Result<KeyPairReport, CommandError> {
    let mut seed = [0; 32];
    OsRng
        .try_fill_bytes(&mut seed)
        .map_err(|error| CommandError::Start { reason: error.to_string().into() })?;
    let key = OperatorSigningKey::from_seed(seed);
    let public_key = key.public_key().to_string();
    let (private_file, public_file) = (with_suffix(name, ".key"), with_suffix(name, ".pub"));
    create_file(&private_file, &key.to_hex(), PRIVATE_KEY_MODE)?;
    create_file(&public_file, &public_key, PUBLIC_KEY_MODE)?;
    Ok(KeyPairReport { private_file, public_file, public_key: public_key.into() })
}

/// Appends a suffix to the path, keeping any extension that it has.
fn with_suffix(name: &Path, suffix: &str) -> PathBuf {
    let mut path = OsString::from(name);
    path.push(suffix);
    path.into()
}

/// Writes a line of text to a new file and syncs it. Fails if the file exists.
fn create_file(path: &Path, text: &str, mode: u32) -> Result<(), CommandError> {
    let opened = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    opened
        .and_then(|mut file| writeln!(file, "{text}").and_then(|()| file.sync_all()))
        .context(FileUnwritableSnafu { path })
}

impl fmt::Display for KeyPairReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "private key: {} (keep it secret)", self.private_file.display())?;
        writeln!(f, "public key:  {}", self.public_file.display())?;
        write!(f, "operator_public_key: {}", self.public_key)
    }
}

impl CommandReport for KeyPairReport {}
