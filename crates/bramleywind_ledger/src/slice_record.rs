use bramleywind_macros::domain_type;
use bramleywind_types::{InstanceId, TokenCount};

/// The stored record of one incarnation's slice of a budget. Both counts are cumulative over the life of
/// the slice.
#[domain_type]
pub struct SliceRecord {
    /// The instance of the incarnation, which identifies its member record and the router to borrow from.
    pub holder: InstanceId,
    /// The upper limit of what the incarnation has spent and reserved together.
    pub granted: TokenCount,
    /// The tokens spent up to the last page write of the incarnation. Used for display and estimates only; the
    /// journal is authoritative.
    pub settled: TokenCount,
}
