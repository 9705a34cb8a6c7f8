//! The platform's instance list and its records, which form one JSON document.

use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, InstanceId};

/// The purpose of an instance.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// The instance runs a router.
    Entry,
    /// The instance runs an endpoint.
    Endpoint,
}

/// The state of an instance, which says whether it accepts new work.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts new work.
    Live,
    /// The instance finishes its current work and accepts no more.
    Leaving,
}

/// A record of one instance.
#[domain_type]
pub struct InstanceRecord {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The data centre that hosts the instance.
    pub data_centre: DataCentreId,
    /// The IP address and port of the instance.
    pub address: SocketAddr,
    /// The purpose of the instance.
    pub kind: InstanceKind,
    /// Whether the instance accepts new work.
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
    /// The instances, ordered by name.
    pub instances: Vec<InstanceRecord>,
}
