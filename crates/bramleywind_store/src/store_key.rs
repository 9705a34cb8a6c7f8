use std::fmt;

use bramleywind_types::{BudgetId, InstanceId, RequestKey};
use xxhash_rust::xxh3::xxh3_64;

/// How many pages budgets are spread over.
///
/// 190,000 budgets of 200 bytes are 74 KB a page, and 512 writes refresh all of them. Changing the number
/// moves every budget, so it is fixed for the life of a deployment.
pub const PAGE_COUNT: u64 = 512;

/// How many pages claims are spread over.
///
/// At 38 claims a second and 250 bytes each, the claims of 24 h are 200 KB a page. Changing the number makes
/// earlier claims invisible, so it is fixed for the life of a deployment.
pub const CLAIM_PAGE_COUNT: u64 = 4_096;

/// A key of the store.
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

    /// The key of the configuration.
    pub fn config() -> Self {
        Self("config".into())
    }

    /// The key of the page that holds a budget's record.
    pub fn budget_page(budget: &BudgetId) -> Self {
        let page = xxh3_64(budget.as_str().as_bytes()) % PAGE_COUNT;
        Self(format!("{}{page:04}", Self::BUDGETS).into())
    }

    /// The key of the page that holds the claim of a request.
    pub fn claim_page(key: &RequestKey) -> Self {
        let page = key.hash64() % CLAIM_PAGE_COUNT;
        Self(format!("{}{page:04}", Self::CLAIMS).into())
    }

    /// The key of an instance's member record.
    pub fn member(instance: &InstanceId) -> Self {
        Self(format!("{}{instance}", Self::MEMBERS).into())
    }

    /// A key as the store returned it from a listing, or one of another part of the system.
    pub fn from_text(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
