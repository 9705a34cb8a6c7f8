use std::net::SocketAddr;

use bramleywind_types::{EndpointId, InstanceId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::rate_limits::IssuerRole;

/// A gateway that may issue permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct IssuerCandidate {
    pub instance: InstanceId,
    pub is_serving: bool,
    /// The address at which it is asked; `None` for this process.
    pub peer_address: Option<SocketAddr>,
}

impl IssuerCandidate {
    /// Returns whether this is this process.
    pub(super) fn is_own(&self) -> bool {
        self.peer_address.is_none()
    }
}

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
        let (mut first, mut second) = (None, None);
        for candidate in &self.0 {
            let ranked = Some((rank(candidate), candidate));
            let is_before = |other: &Option<((bool, u64), &IssuerCandidate)>| {
                other.as_ref().is_none_or(|(other_rank, _)| rank(candidate) < *other_rank)
            };
            if is_before(&first) {
                second = std::mem::replace(&mut first, ranked);
            } else if is_before(&second) {
                second = ranked;
            }
        }
        (first.map(|(_, candidate)| candidate), second.map(|(_, candidate)| candidate))
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
