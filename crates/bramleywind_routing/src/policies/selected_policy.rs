use crate::{
    EndpointPolicy, EndpointState, LeastReportedLoad, PolicyKind, PrefixAffinity, RoundRobin,
    RouteRequest, TwoChoices,
};

/// The policy that the settings name. An enum, so that the request path has no dynamic dispatch.
#[derive(Debug)]
pub enum SelectedPolicy {
    /// See [`RoundRobin`].
    RoundRobin(RoundRobin),
    /// See [`LeastReportedLoad`].
    LeastReportedLoad(LeastReportedLoad),
    /// See [`TwoChoices`].
    TwoChoices(TwoChoices),
    /// See [`PrefixAffinity`].
    PrefixAffinity(Box<PrefixAffinity>),
}

impl SelectedPolicy {
    /// The policy of the given kind; `seed` decides its random draws.
    pub fn new(kind: PolicyKind, seed: u64) -> Self {
        match kind {
            PolicyKind::RoundRobin => Self::RoundRobin(RoundRobin::default()),
            PolicyKind::LeastReportedLoad => Self::LeastReportedLoad(LeastReportedLoad),
            PolicyKind::TwoChoices => Self::TwoChoices(TwoChoices::new(seed)),
            PolicyKind::PrefixAffinity => Self::PrefixAffinity(Box::new(PrefixAffinity::new(seed))),
        }
    }
}

impl EndpointPolicy for SelectedPolicy {
    fn choose(&mut self, request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize> {
        match self {
            Self::RoundRobin(policy) => policy.choose(request, candidates),
            Self::LeastReportedLoad(policy) => policy.choose(request, candidates),
            Self::TwoChoices(policy) => policy.choose(request, candidates),
            Self::PrefixAffinity(policy) => policy.choose(request, candidates),
        }
    }

    fn record_sent(&mut self, request: &RouteRequest, endpoint: &EndpointState) {
        match self {
            Self::RoundRobin(policy) => policy.record_sent(request, endpoint),
            Self::LeastReportedLoad(policy) => policy.record_sent(request, endpoint),
            Self::TwoChoices(policy) => policy.record_sent(request, endpoint),
            Self::PrefixAffinity(policy) => policy.record_sent(request, endpoint),
        }
    }
}
