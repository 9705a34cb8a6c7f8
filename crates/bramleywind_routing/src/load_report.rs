use bramleywind_macros::domain_type;

/// What an endpoint reports of its load. It describes the past: reports lag.
#[domain_type]
#[derive(Copy, Default)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait inside it.
    pub queued: u32,
}

impl LoadReport {
    /// All requests that the endpoint has accepted and not finished.
    pub fn accepted(self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}
