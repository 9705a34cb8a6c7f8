use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::ServiceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::platform_api::PartId;

/// A part of prompts that requests to a service share.
///
/// The workspace is not a part of the name: whether an endpoint fails on a text does not depend on who sent it.
#[domain_type]
#[derive(PartialOrd, Ord, Hash)]
pub struct SharedPart {
    /// The service that the requests are sent to.
    pub service: ServiceId,
    /// The part.
    pub id: PartId,
}

impl SharedPart {
    /// Returns a hash of the service, for rendezvous hashing.
    pub fn service_hash(&self) -> u64 {
        xxh3_64(self.service.as_str().as_bytes())
    }

    /// Returns a hash of the part, for rendezvous hashing.
    pub fn short_hash(&self) -> u64 {
        xxh3_64_with_seed(self.service.as_str().as_bytes(), self.id.0)
    }
}

impl fmt::Display for SharedPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.id)
    }
}
