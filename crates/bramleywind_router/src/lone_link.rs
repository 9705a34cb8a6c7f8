use bramleywind_claims::{ClaimHolder, ClaimLink, ClaimQuery, ClaimStatus};

/// A link that reaches nobody.
#[derive(Debug, Clone)]
pub struct LoneLink;

impl ClaimLink for LoneLink {
    async fn query(&self, _holder: &ClaimHolder, _query: &ClaimQuery) -> ClaimStatus {
        ClaimStatus::Unknown
    }
}
