use std::time::{Duration, Instant};

/// Which endpoints may get requests, by the age of what is known of them.
///
/// An endpoint may have been leaving for as long as the list is old. A list that is older than the limit is used only as long as it
/// seems to be as old everywhere: while the store is away, nothing can be learned and nothing that the store has confirmed can be
/// missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListGate {
    /// All endpoints of the list.
    Open,
    /// Only endpoints that have answered since `known_since`, and did not say that they leave.
    Answering {
        /// The earliest time of an answer that counts.
        known_since: Instant,
    },
}

/// What [`ListGate::decide`] depends on.
#[derive(Debug, Clone, Copy)]
pub struct ListGateInput {
    /// The time up to which the list is complete.
    pub complete_until: Instant,
    /// When the store last answered any call.
    pub store_answered_at: Option<Instant>,
    /// Whether the link of this instance is saturated, so that the reason for an old list may lie here.
    pub is_link_saturated: bool,
    /// The greatest age at which an endpoint of the list may get requests in any case.
    pub max_age: Duration,
}

impl ListGate {
    /// Decides which endpoints may get requests at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use bramleywind_gateway::registry::{ListGate, ListGateInput};
    ///
    /// let complete_until = Instant::now();
    /// let now = complete_until + Duration::from_secs(3);
    /// let outage = ListGateInput {
    ///     complete_until,
    ///     store_answered_at: Some(complete_until),
    ///     is_link_saturated: false,
    ///     max_age: Duration::from_secs(2),
    /// };
    /// assert_eq!(ListGate::decide(&outage, now), ListGate::Open);
    /// let missed = ListGateInput { store_answered_at: Some(now), ..outage };
    /// assert!(matches!(ListGate::decide(&missed, now), ListGate::Answering { .. }));
    /// ```
    pub fn decide(input: &ListGateInput, now: Instant) -> Self {
        let valid_until = input.complete_until + input.max_age;
        if now <= valid_until {
            return Self::Open;
        }
        let is_store_alive = input.store_answered_at.is_some_and(|at| at > valid_until);
        match now.checked_sub(input.max_age) {
            Some(known_since) if is_store_alive || input.is_link_saturated => {
                Self::Answering { known_since }
            }
            _ => Self::Open,
        }
    }

    /// Returns whether an endpoint that last answered at `answered_at` without saying that it leaves may get requests.
    pub fn admits(self, answered_at: Option<Instant>) -> bool {
        match self {
            Self::Open => true,
            Self::Answering { known_since } => answered_at.is_some_and(|at| at >= known_since),
        }
    }
}
