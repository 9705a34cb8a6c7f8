use bincode::{config::standard, serde::encode_to_vec};
use bramleywind_macros::domain_type;
use xxhash_rust::xxh3::xxh3_64;

use super::{ListPart, ListedRecord};

/// The number of parts of the list. A part is sent whole if a record of it changes, so it is small; the digests of all parts are
/// sent with each query.
pub const LIST_PARTS: usize = 32;

/// The digests of the parts of a list. Two lists with the same digests hold the same records.
///
/// ```
/// use bramleywind_gateway::{endpoints::EndpointRecord, registry::ListDigest};
///
/// let digest = ListDigest::of(std::iter::empty::<&EndpointRecord>());
/// assert_eq!(digest.differing_parts(&digest).count(), 0);
/// ```
#[domain_type]
pub struct ListDigest {
    parts: Vec<u32>,
}

impl ListDigest {
    /// Returns the digest of a list. The order of the records does not matter.
    pub fn of<'a, R: ListedRecord + 'a>(records: impl Iterator<Item = &'a R>) -> Self {
        let mut parts = vec![0; LIST_PARTS];
        for record in records {
            parts[part_of(record.name())] ^= hash_record(record);
        }
        Self { parts }
    }

    /// Returns the numbers of the parts in which two lists differ.
    pub fn differing_parts<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        (0..LIST_PARTS).filter(|part| self.parts.get(*part) != other.parts.get(*part))
    }
}

/// Returns the parts of a list that differ from the one with another digest.
pub fn differing_parts<R: ListedRecord>(records: &[R], other: &ListDigest) -> Vec<ListPart<R>> {
    let part = |number| {
        let is_included = |record: &&R| part_of(record.name()) == number;
        ListPart { number, records: records.iter().filter(is_included).cloned().collect() }
    };
    ListDigest::of(records.iter()).differing_parts(other).map(part).collect()
}

/// Returns the part of the list that the record with a name belongs to.
pub fn part_of(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) % LIST_PARTS as u64) as usize
}

fn hash_record(record: &impl ListedRecord) -> u32 {
    // The encoding is the same on all machines. Records consist of types that can always be encoded.
    encode_to_vec(record, standard()).map_or(0, |bytes| xxh3_64(&bytes) as u32)
}
