use std::time::Duration;

/// The delay of the link up to which requests of rank 0 are admitted. It is half of the shortest latency target.
const MAX_LINK_DELAY: Duration = Duration::from_millis(200);

/// How much less delay each further rank tolerates, so that the most urgent requests are refused last.
const RANK_STEP: Duration = Duration::from_millis(50);

/// The least delay at which a request is refused, which a single long prompt does not cause.
const MIN_LINK_DELAY: Duration = Duration::from_millis(60);

/// The least delay after which a refused caller may return. The link or the memory is free again soon after the load ends.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// What the admission of a request depends on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// The rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// The number of requests that are open, without this one.
    pub open_requests: usize,
    /// The number of requests that may be open.
    pub max_requests: usize,
    /// How long a byte waits for the link, in the slower direction.
    pub link_delay: Duration,
}

/// Whether an instance takes on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is served.
    Admit,
    /// The request is refused at once. It has not run and its body was not read.
    Refuse {
        /// The delay after which the caller may return.
        retry_after: Duration,
    },
}

impl AdmissionDecision {
    /// Decides whether the instance can carry one more request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bramleywind_gateway::admission::{AdmissionDecision, AdmissionInput};
    ///
    /// let link_delay = Duration::from_millis(160);
    /// let urgent = AdmissionInput { rank: 0, open_requests: 40, max_requests: 500, link_delay };
    /// assert_eq!(AdmissionDecision::decide(&urgent), AdmissionDecision::Admit);
    /// let other = AdmissionInput { rank: 2, ..urgent };
    /// assert!(matches!(AdmissionDecision::decide(&other), AdmissionDecision::Refuse { .. }));
    /// ```
    pub fn decide(input: &AdmissionInput) -> Self {
        let max_delay = MAX_LINK_DELAY.saturating_sub(RANK_STEP * input.rank.min(100));
        let is_link_full = input.link_delay > max_delay.max(MIN_LINK_DELAY);
        if is_link_full || input.open_requests >= input.max_requests {
            return Self::Refuse { retry_after: MIN_RETRY_DELAY.max(input.link_delay) };
        }
        Self::Admit
    }
}
