//! `key generate`: makes the operators' key pair.

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

/// Only the owner reads the private key.
const PRIVATE_MODE: u32 = 0o600;
const PUBLIC_MODE: u32 = 0o644;

/// The files of a new key pair. The private key itself is in its file only.
#[derive(Debug, Serialize)]
pub struct KeyPairReport {
    /// The file of the private key.
    pub private_file: PathBuf,
    /// The file of the public key.
    pub public_file: PathBuf,
    /// The public key, for `operator_public_key` in the daemon's settings.
    pub public_key: Box<str>,
}

/// Makes a key pair and writes its two files.
///
/// # Errors
///
/// If a file exists or cannot be written, or the system has no random numbers.
pub fn generate(name: &Path) -> Result<KeyPairReport, CommandError> {
    let mut seed = [0; 32];
    OsRng
        .try_fill_bytes(&mut seed)
        .map_err(|error| CommandError::Start { reason: error.to_string().into() })?;
    let key = OperatorSigningKey::from_seed(seed);
    let public_key = key.public_key().to_string();
    let (private_file, public_file) = (with_ending(name, ".key"), with_ending(name, ".pub"));
    write_new(&private_file, &key.to_hex(), PRIVATE_MODE)?;
    write_new(&public_file, &public_key, PUBLIC_MODE)?;
    Ok(KeyPairReport { private_file, public_file, public_key: public_key.into() })
}

fn with_ending(name: &Path, ending: &str) -> PathBuf {
    let mut path = OsString::from(name);
    path.push(ending);
    path.into()
}

fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), CommandError> {
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
