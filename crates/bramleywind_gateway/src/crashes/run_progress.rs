/// How far an endpoint had come with a request when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunProgress {
    /// Nothing of the answer had arrived.
    Unanswered,
    /// Events of the answer had arrived, so the endpoint had run the request for a while.
    Begun,
}
