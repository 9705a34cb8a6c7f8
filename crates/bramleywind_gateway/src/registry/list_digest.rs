use bincode::{config::standard, serde::encode_to_vec};
use bramleywind_macros::domain_type;
use bramleywind_types::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoints::EndpointRecord;

/// The number of parts of the list. A part is sent whole if a record of it changes, so it is small; the digests of all parts are
/// sent with each query.
pub const LIST_PARTS: usize = 32;

/// The digests of the parts of a list of endpoints. Two lists with the same digests hold the same records.
///
/// ```
/// use bramleywind_gateway::registry::ListDigest;
///
/// let digest = ListDigest::of(std::iter::empty());
/// assert_eq!(digest.differing_parts(&digest).count(), 0);
/// ```
#[domain_type]
pub struct ListDigest {
    parts: Vec<u32>,
}

impl ListDigest {
    /// Returns the digest of a list. The order of the records does not matter.
    pub fn of<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> Self {
        let mut parts = vec![0; LIST_PARTS];
        for record in records {
            parts[part_of(&record.id)] ^= hash_record(record);
        }
        Self { parts }
    }

    /// Returns the numbers of the parts in which two lists differ.
    pub fn differing_parts<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        (0..LIST_PARTS).filter(|part| self.parts.get(*part) != other.parts.get(*part))
    }
}

/// Returns the part of the list that an endpoint belongs to.
pub fn part_of(endpoint: &EndpointId) -> usize {
    (xxh3_64(endpoint.as_str().as_bytes()) % LIST_PARTS as u64) as usize
}

fn hash_record(record: &EndpointRecord) -> u32 {
    // The encoding is the same on all machines. Records consist of types that can always be encoded.
    encode_to_vec(record, standard()).map_or(0, |bytes| xxh3_64(&bytes) as u32)
}
