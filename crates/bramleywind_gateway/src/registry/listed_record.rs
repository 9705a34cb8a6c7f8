use serde::Serialize;

use crate::{endpoints::EndpointRecord, members::MemberRecord};

/// A record of a list that gateways relay.
pub trait ListedRecord: Serialize + Clone {
    /// The name that no other record of the list has.
    fn name(&self) -> &str;
}

impl ListedRecord for EndpointRecord {
    fn name(&self) -> &str {
        self.id.as_str()
    }
}

impl ListedRecord for MemberRecord {
    fn name(&self) -> &str {
        self.instance.as_str()
    }
}
