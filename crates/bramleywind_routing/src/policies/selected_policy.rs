use crate::{
    EndpointPolicy, EndpointState, LeastReportedLoad, PolicyKind, PrefixAffinity, RoundRobin,
    RouteRequest, TwoChoices,
};

/// The policy selected in the settings. It is an enum, so that the request path needs no dynamic dispatch.
#[derive(Debug)]
pub enum SelectedPolicy {
    /// The [`RoundRobin`] policy.
    RoundRobin(RoundRobin),
    /// The [`LeastReportedLoad`] policy.
    LeastReportedLoad(LeastReportedLoad),
    /// The [`TwoChoices`] policy.
    TwoChoices(TwoChoices),
    /// The [`PrefixAffinity`] policy.
    PrefixAffinity(Box<PrefixAffinity>),
}

impl SelectedPolicy {
    /// Creates a policy of the given kind. `seed` determines its random draws.
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
