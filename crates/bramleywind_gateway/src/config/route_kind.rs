use bramleywind_macros::domain_type;

/// The type of a route's requests, which determines when they may be retried.
#[domain_type]
#[derive(Copy)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The response is a stream of numbered events. A request runs at most once.
    Stream,
    /// Like `Stream`, but another engine can resume after the last event that arrived.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
