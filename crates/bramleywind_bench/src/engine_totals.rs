/// Counters of an engine since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineTotals {
    /// Requests that left the queue and started to run.
    pub started: u64,
    /// Requests that finished.
    pub finished: u64,
    /// Requests whose prompt started with a cached block.
    pub prefix_hits: u64,
}
