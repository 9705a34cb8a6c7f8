//! `dump`: the state of an instance.

use std::{fmt, net::SocketAddr};

use serde::Serialize;

use crate::{CommandError, CommandReport, OperatorClient};

/// The state of an instance as it gave it. It is JSON in both forms of the output.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct DumpReport(serde_json::Value);

/// Asks an instance for its state.
///
/// # Errors
///
/// If the instance is not reachable, refuses, or answers with something that is not JSON.
pub async fn dump(
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
