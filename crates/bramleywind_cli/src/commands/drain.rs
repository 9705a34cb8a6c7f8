//! `drain`: starts the graceful shutdown of an instance.

use std::{fmt, net::SocketAddr};

use bramleywind_types::InstanceId;
use serde::Serialize;

use crate::{CommandError, CommandReport, OperatorClient};

/// The result of a drain request that the instance accepted.
#[derive(Debug, Serialize)]
pub struct DrainReport {
    /// The id of the instance.
    pub instance: InstanceId,
}

/// Requests the graceful shutdown of an instance. Repeating the request does no harm.
///
/// # Errors
///
/// Fails if the instance does not answer or refuses the request.
pub async fn drain_instance(
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
