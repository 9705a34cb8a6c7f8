//! `entries`: lists the entry instances that callers should use.

use std::{fmt, net::SocketAddr};

use bramleywind_types::EntryList;
use serde::Serialize;

use crate::{CommandError, CommandReport, OperatorClient};

/// The entries returned by the first caller port that answered.
#[derive(Debug, Serialize)]
pub struct EntriesReport {
    /// The caller port that answered.
    pub answered_by: SocketAddr,
    /// The entries and the time until which they are valid.
    #[serde(flatten)]
    pub list: EntryList,
}

/// Queries the caller ports in order until one answers.
///
/// # Errors
///
/// Returns the error of the last port if none answers. `addresses` must not be empty.
pub async fn fetch_entries(
    client: &OperatorClient,
    addresses: &[SocketAddr],
) -> Result<EntriesReport, CommandError> {
    let mut last_error = CommandError::NotGiven {
        what: "the address of a caller port",
        remedy: "`--entry IP:PORT`",
    };
    for address in addresses {
        match client.get::<EntryList>(*address, "/v1/entries").await {
            Ok(list) => return Ok(EntriesReport { answered_by: *address, list }),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

impl fmt::Display for EntriesReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} entries, according to {}", self.list.entries.len(), self.answered_by)?;
        for entry in &self.list.entries {
            let (instance, data_centre) = (&entry.instance, &entry.data_centre);
            write!(f, "\n{instance} ({data_centre}): {} weight {}", entry.address, entry.weight)?;
        }
        Ok(())
    }
}

impl CommandReport for EntriesReport {}
