use bramleywind_macros::domain_type;

/// What may be repeated of a route's requests.
#[domain_type]
#[derive(Copy)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events. A request runs at most once.
    Stream,
    /// As a stream, and another engine can go on after the last event that arrived.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
