//! `dump`: the internal state of an instance.

use std::{fmt, net::SocketAddr};

use serde::Serialize;

use crate::{CommandError, CommandReport, OperatorClient};

/// The state of an instance as it was received, printed as JSON in both output formats.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct DumpReport(serde_json::Value);

/// Fetches the state of an instance.
///
/// # Errors
///
/// Fails if the instance does not answer, refuses the request, or answers with something that is not JSON.
pub async fn fetch_dump(
    client: &OperatorClient,
    address: SocketAddr,
) -> Result<DumpReport, CommandError> {
    client.get(address, "/v1/dump").await.map(DumpReport)
}

impl fmt::Display for DumpReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

impl CommandReport for DumpReport {}
