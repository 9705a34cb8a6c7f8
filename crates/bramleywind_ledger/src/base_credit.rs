use bramleywind_macros::domain_type;
use bramleywind_types::{ConfigRevision, TokenCount};

/// The part of a budget's credit that the configuration sets. A higher revision replaces it.
#[domain_type]
#[derive(Copy, Default)]
pub struct BaseCredit {
    /// The configuration revision that set the credit.
    pub revision: ConfigRevision,
    /// The credit in tokens.
    pub tokens: TokenCount,
}
