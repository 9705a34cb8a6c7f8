//! `entries`: the entry instances that callers are told.

use std::{fmt, net::SocketAddr};

use bramleywind_types::EntryList;
use serde::Serialize;

use crate::{CommandError, CommandReport, OperatorClient};

/// The entries as the first reachable caller port gave them.
#[derive(Debug, Serialize)]
pub struct EntriesReport {
    /// Who answered.
    pub answered_by: SocketAddr,
    /// The answer.
    #[serde(flatten)]
    pub list: EntryList,
}

/// Asks caller ports one after the other until one answers.
///
/// # Errors
///
/// The last port's error, if none answers. `addresses` must not be empty.
pub async fn entries(
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
        write!(f, "{} entries, as {} says", self.list.entries.len(), self.answered_by)?;
        for entry in &self.list.entries {
            let (instance, data_centre) = (&entry.instance, &entry.data_centre);
            write!(f, "\n{instance} ({data_centre}): {} weight {}", entry.address, entry.weight)?;
        }
        Ok(())
    }
}

impl CommandReport for EntriesReport {}
