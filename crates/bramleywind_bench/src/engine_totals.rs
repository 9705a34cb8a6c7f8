/// What one engine has done since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineTotals {
    /// Requests that left its queue.
    pub started: u64,
    /// Requests that it finished.
    pub finished: u64,
    /// Requests whose prompt began with a cached block.
    pub prefix_hits: u64,
}
