use bramleywind_types::EndpointId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::issuer_candidate::IssuerCandidate;
use crate::rate_limits::IssuerRole;

/// The gateways that may issue permits for requests to endpoints, according to one member list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct IssuerOrder(Vec<IssuerCandidate>);

impl IssuerOrder {
    pub(super) fn new(candidates: Vec<IssuerCandidate>) -> Self {
        Self(candidates)
    }

    /// Returns the issuer of an endpoint's permits and its substitute: the first two of the serving gateways in a rendezvous
    /// hash, on which all gateways with the same member list agree.
    pub(super) fn first_two(
        &self,
        endpoint: &EndpointId,
    ) -> (Option<&IssuerCandidate>, Option<&IssuerCandidate>) {
        let seed = xxh3_64(endpoint.as_str().as_bytes());
        let rank = |candidate: &IssuerCandidate| {
            let score = xxh3_64_with_seed(candidate.instance.as_str().as_bytes(), seed);
            (!candidate.is_serving, score)
        };
        let first = self.0.iter().min_by_key(|candidate| rank(candidate));
        let others = self.0.iter().filter(|candidate| Some(*candidate) != first);
        (first, others.min_by_key(|candidate| rank(candidate)))
    }

    /// Returns whether there are no candidates.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the role of this process.
    pub(super) fn own_role(&self, endpoint: &EndpointId) -> IssuerRole {
        match self.first_two(endpoint) {
            (Some(first), _) if first.is_own() => IssuerRole::Issuer,
            (_, Some(second)) if second.is_own() => IssuerRole::Substitute,
            _ => IssuerRole::None,
        }
    }
}
