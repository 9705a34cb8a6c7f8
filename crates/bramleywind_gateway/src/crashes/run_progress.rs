/// The number of events after which an answer counts as established. What crashes an endpoint does so when it begins to
/// write the answer, with the first event or shortly after it.
pub const ESTABLISHED_EVENTS: u64 = 3;

/// How far an endpoint had come with a request when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunProgress {
    /// Nothing of the answer had arrived.
    Unanswered,
    /// Events of the answer had arrived.
    Begun,
    /// At least three events had arrived, so the endpoint had run the request for a while.
    Established,
}

impl RunProgress {
    /// Returns the progress after a number of events of the answer.
    pub fn after_events(count: u64) -> Self {
        match count {
            0 => Self::Unanswered,
            1..ESTABLISHED_EVENTS => Self::Begun,
            _ => Self::Established,
        }
    }
}
