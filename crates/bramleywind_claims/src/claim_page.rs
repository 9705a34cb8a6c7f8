use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{IdempotencyKey, RequestKey, WorkspaceId};
use snafu::{ResultExt as _, Snafu};

use crate::ClaimRecord;

/// The maximum size of an encoded page, in bytes. The store accepts values of up to a megabyte.
pub const MAX_PAGE_BYTES: usize = 1_000_000;

/// The maximum size of an encoded page that accepts new claims, in bytes.
///
/// The space above it is reserved for the outcomes of open claims. A request whose page is full is refused as not run
/// until older claims expire.
pub const MAX_OPEN_PAGE_BYTES: usize = 900_000;

/// The error for a store value that is not a claim page.
#[derive(Debug, Snafu)]
#[snafu(display("claim page is not valid JSON: {source}; restore the value or delete the key"))]
pub struct PageError {
    source: serde_json::Error,
}

/// The claims of all keys that hash to one page.
///
/// ```
/// use bramleywind_claims::ClaimPage;
///
/// let page = ClaimPage::default();
/// assert_eq!(ClaimPage::decode(&page.encode()).unwrap(), page);
/// ```
#[domain_type]
#[derive(Default)]
pub struct ClaimPage {
    /// The claims by workspace and key.
    pub claims: BTreeMap<WorkspaceId, BTreeMap<IdempotencyKey, ClaimRecord>>,
}

impl ClaimPage {
    /// Decodes a page from a store value.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a JSON-encoded page.
    pub fn decode(bytes: &[u8]) -> Result<Self, PageError> {
        serde_json::from_slice(bytes).context(PageSnafu)
    }

    /// Encodes the page as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        // Storing an empty value in place of the page would allow the requests of all its keys to run again.
        serde_json::to_vec(self).expect("a claim page has only text keys and finite numbers")
    }

    /// Returns the claim of a key.
    pub fn get(&self, key: &RequestKey) -> Option<&ClaimRecord> {
        self.claims.get(&key.workspace)?.get(&key.key)
    }

    /// Returns a mutable reference to the claim of a key.
    pub fn get_mut(&mut self, key: &RequestKey) -> Option<&mut ClaimRecord> {
        self.claims.get_mut(&key.workspace)?.get_mut(&key.key)
    }

    /// Adds or replaces the claim of a key.
    pub fn insert(&mut self, key: &RequestKey, record: ClaimRecord) {
        self.claims.entry(key.workspace.clone()).or_default().insert(key.key.clone(), record);
    }

    /// Removes the claim of a key.
    pub fn remove(&mut self, key: &RequestKey) {
        if let Some(claims) = self.claims.get_mut(&key.workspace) {
            claims.remove(&key.key);
        }
    }

    /// Removes the claims whose retention time has passed.
    pub fn drop_expired(&mut self) {
        for claims in self.claims.values_mut() {
            claims.retain(|_, record| !record.keep_until_ms.has_passed());
        }
        self.claims.retain(|_, claims| !claims.is_empty());
    }
}
