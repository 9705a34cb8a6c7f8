use std::fmt;

use bramleywind_types::{BudgetId, InstanceId, RequestKey};
use xxhash_rust::xxh3::xxh3_64;

/// The number of pages that hold the budgets.
///
/// 190,000 budgets of 200 bytes take 74 KB per page, and 512 writes refresh all of them. A different number
/// would move every budget, so it is fixed for the lifetime of a deployment.
pub const PAGE_COUNT: u64 = 512;

/// The number of pages that hold the claims.
///
/// At 38 claims per second of 250 bytes each, the claims of 24 h take 200 KB per page. A different number would
/// make existing claims invisible, so it is fixed for the lifetime of a deployment.
pub const CLAIM_PAGE_COUNT: u64 = 4_096;

/// A key in the store.
///
/// ```
/// use bramleywind_store::StoreKey;
///
/// let key = StoreKey::budget_page(&"spring-season".parse().unwrap());
/// assert!(key.as_str().starts_with("budgets/"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreKey(Box<str>);

impl StoreKey {
    /// The prefix of all budget pages.
    pub const BUDGETS: &str = "budgets/";
    /// The prefix of all claim pages.
    pub const CLAIMS: &str = "claims/";
    /// The prefix of all member records.
    pub const MEMBERS: &str = "members/";

    /// Returns the key of the configuration.
    pub fn config() -> Self {
        Self("config".into())
    }

    /// Returns the key of the page that holds a budget's record.
    pub fn budget_page(budget: &BudgetId) -> Self {
        let page = xxh3_64(budget.as_str().as_bytes()) % PAGE_COUNT;
        Self(format!("{}{page:04}", Self::BUDGETS).into())
    }

    /// Returns the key of the page that holds the claim of a request.
    pub fn claim_page(key: &RequestKey) -> Self {
        let page = key.hash64() % CLAIM_PAGE_COUNT;
        Self(format!("{}{page:04}", Self::CLAIMS).into())
    }

    /// Returns the key of an instance's member record.
    pub fn member(instance: &InstanceId) -> Self {
        Self(format!("{}{instance}", Self::MEMBERS).into())
    }

    /// Creates a key from text, such as one returned by a listing or defined by another crate.
    pub fn from_text(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
