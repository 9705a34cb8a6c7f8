//! `drain`: starts the graceful shutdown of an instance.

use std::{fmt, net::SocketAddr};

use bramleywind_types::InstanceId;
use serde::Serialize;

use crate::{CommandError, CommandReport, OperatorClient};

/// An instance began to drain.
#[derive(Debug, Serialize)]
pub struct DrainReport {
    /// The instance.
    pub instance: InstanceId,
}

/// Tells an instance to drain. Telling it twice does no harm.
///
/// # Errors
///
/// If the instance is not reachable or refuses.
pub async fn drain(
    client: &OperatorClient,
    instance: &InstanceId,
    address: SocketAddr,
) -> Result<DrainReport, CommandError> {
    client.post(address, "/v1/drain").await?;
    Ok(DrainReport { instance: instance.clone() })
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is draining; it finishes its requests and exits", self.instance)
    }
}

impl CommandReport for DrainReport {}
