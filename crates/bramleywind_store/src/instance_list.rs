//! The records of the platform's instance list. They form one document, so they stand in one file.

use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, InstanceId};

/// What an instance is for.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// It runs a router.
    Entry,
    /// It runs an endpoint.
    Endpoint,
}

/// Whether an instance takes new work.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes new work.
    Live,
    /// It finishes its work and takes no more.
    Leaving,
}

/// One instance.
#[domain_type]
pub struct InstanceRecord {
    /// Its name.
    pub instance: InstanceId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Its IP address and port.
    pub address: SocketAddr,
    /// What it is for.
    pub kind: InstanceKind,
    /// Whether it takes new work.
    pub state: InstanceState,
}

/// The instance list as the platform returns it.
///
/// ```
/// use bramleywind_store::{InstanceList, InstanceState};
///
/// let json = r#"{"instances":[{"instance":"i1","data_centre":"akl-a","address":"10.0.0.1:80",
///     "kind":"entry","state":"leaving"}]}"#;
/// let list: InstanceList = serde_json::from_str(json).unwrap();
/// assert_eq!(list.instances[0].state, InstanceState::Leaving);
/// ```
#[domain_type]
#[derive(Default)]
pub struct InstanceList {
    /// The instances, in order of their names.
    pub instances: Vec<InstanceRecord>,
}
