use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, JournalSequence, RequestKey, TokenCount};

/// A reservation that was open at a reclaim, which counted it as spent.
#[domain_type]
pub struct UnresolvedReservation {
    /// The sealed incarnation.
    pub incarnation: IncarnationId,
    /// The reservation's entry in the journal of the incarnation.
    pub sequence: JournalSequence,
    /// The key of the request, if its caller gave one.
    pub key: Option<RequestKey>,
    /// The tokens that were counted as spent.
    pub tokens: TokenCount,
}
