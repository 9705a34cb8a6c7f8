use bramleywind_macros::domain_type;

/// A load report of an endpoint. Reports lag, so they describe a past load.
#[domain_type]
#[derive(Copy, Default)]
pub struct LoadReport {
    /// The number of requests that the endpoint is running.
    pub running: u32,
    /// The number of requests in the endpoint's own queue.
    pub queued: u32,
}

impl LoadReport {
    /// Returns the number of requests that the endpoint has accepted and not finished.
    pub fn accepted(self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}
