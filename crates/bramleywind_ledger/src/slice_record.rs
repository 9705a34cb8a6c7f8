use bramleywind_macros::domain_type;
use bramleywind_types::{InstanceId, TokenCount};

/// What one incarnation was granted of a budget. Both counts are cumulative within the slice.
#[domain_type]
pub struct SliceRecord {
    /// The instance of the incarnation: names its member record and the router that can lend.
    pub holder: InstanceId,
    /// The most that the incarnation may have spent and reserved together.
    pub granted: TokenCount,
    /// What it had spent at its last page write. For display and estimates only; the journal decides.
    pub settled: TokenCount,
}
