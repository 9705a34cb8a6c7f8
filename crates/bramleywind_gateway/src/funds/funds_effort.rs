use std::ops::Sub;

use serde::Serialize;

/// What a process has done to obtain tokens of one budget: counters since the process started.
///
/// The difference of two values tells what was tried while one request waited.
///
/// ```
/// use bramleywind_gateway::funds::FundsEffort;
///
/// let before = FundsEffort { conflicts: 2, ..FundsEffort::default() };
/// let after = FundsEffort { conflicts: 5, loans_asked: 1, ..FundsEffort::default() };
/// assert_eq!(after - before, FundsEffort { conflicts: 3, loans_asked: 1, ..FundsEffort::default() });
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct FundsEffort {
    /// Writes of the grant that were applied.
    pub applied: u64,
    /// Writes that were refused because another process had changed the record.
    pub conflicts: u64,
    /// Writes that the store refused for another reason or did not answer.
    pub failures: u64,
    /// Loans that were requested from other processes.
    pub loans_asked: u64,
    /// Requested loans that brought at least one token.
    pub loans_received: u64,
}

impl Sub for FundsEffort {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            applied: self.applied.saturating_sub(earlier.applied),
            conflicts: self.conflicts.saturating_sub(earlier.conflicts),
            failures: self.failures.saturating_sub(earlier.failures),
            loans_asked: self.loans_asked.saturating_sub(earlier.loans_asked),
            loans_received: self.loans_received.saturating_sub(earlier.loans_received),
        }
    }
}
