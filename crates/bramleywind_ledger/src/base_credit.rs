use bramleywind_macros::domain_type;
use bramleywind_types::{ConfigRevision, TokenCount};

/// The part of a budget's credit that the configuration gives. A higher revision replaces it.
#[domain_type]
#[derive(Copy, Default)]
pub struct BaseCredit {
    /// The revision that set it.
    pub revision: ConfigRevision,
    /// The credit.
    pub tokens: TokenCount,
}
