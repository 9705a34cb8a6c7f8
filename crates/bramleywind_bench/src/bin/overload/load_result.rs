use std::time::Duration;

use bramleywind_bench::{CallOutcome, CallRecord, CallSummary, bench_workspaces, percentile};

/// The results of the calls under one load.
pub(crate) struct LoadResult {
    pub(crate) percent: u32,
    pub(crate) summary: CallSummary,
    /// Tokens per second of complete answers that arrived within the deadline.
    pub(crate) useful_rate: f64,
    /// Number of complete answers that arrived after the deadline.
    pub(crate) overdue: usize,
    /// Number of calls that ended neither with a complete answer nor with a refusal.
    pub(crate) broken: usize,
    /// Median, 95th and 100th percentile of the time until a refusal, in milliseconds.
    pub(crate) refusal_ms: [f64; 3],
    /// The 5th and the 95th percentile of the times after which refused callers may retry, in milliseconds.
    pub(crate) retry_after_ms_range: [f64; 2],
    /// Number of refusals without a time for the retry.
    pub(crate) without_retry_after: usize,
    /// The 95th percentile of the small workspace's time to the first token, in milliseconds.
    pub(crate) small_first_token_ms: f64,
    /// Number of refused calls of the small workspace.
    pub(crate) small_refused: usize,
    /// Number of calls of the small workspace.
    pub(crate) small_calls: usize,
}

impl LoadResult {
    /// Computes the result from the calls that were sent in the `duration` after the warm-up.
    pub(crate) fn new(
        percent: u32,
        records: &[&CallRecord],
        deadline_ms: u64,
        duration: Duration,
    ) -> Self {
        let in_time = |record: &&&CallRecord| record.total_ms <= deadline_ms as f64;
        let complete = || records.iter().filter(|record| record.is_whole());
        let useful: u64 = complete().filter(in_time).map(|record| u64::from(record.tokens)).sum();
        let refused = || records.iter().filter(|record| record.is_refused());
        let retry_delays: Vec<f64> = refused()
            .filter_map(|record| match &record.outcome {
                CallOutcome::Refused { retry_after_ms, .. } => {
                    retry_after_ms.map(|delay| delay as f64)
                }
                _ => None,
            })
            .collect();
        let small: Vec<&CallRecord> = records
            .iter()
            .copied()
            .filter(|record| &*record.workspace == bench_workspaces()[1])
            .collect();
        let small_summary = CallSummary::of(small.iter().copied());
        let summary = CallSummary::of(records.iter().copied());
        let refusal = |percent| percentile(refused().map(|record| record.total_ms), percent);
        Self {
            percent,
            useful_rate: useful as f64 / duration.as_secs_f64(),
            overdue: complete().filter(|record| !in_time(record)).count(),
            broken: records.len() - summary.whole - summary.refused,
            refusal_ms: [50.0, 95.0, 100.0].map(refusal),
            retry_after_ms_range: [5.0, 95.0]
                .map(|percent| percentile(retry_delays.iter().copied(), percent)),
            without_retry_after: summary.refused - retry_delays.len(),
            small_first_token_ms: small_summary.first_token_ms[1],
            small_refused: small_summary.refused,
            small_calls: small_summary.calls,
            summary,
        }
    }

    /// Returns the cells of the result's table row.
    pub(crate) fn cells(&self) -> Vec<String> {
        let summary = &self.summary;
        let counts = [summary.calls, summary.whole, self.overdue, summary.refused, self.broken];
        let mut cells = vec![self.percent.to_string()];
        cells.extend(counts.map(|count| count.to_string()));
        let times = [
            self.useful_rate,
            summary.first_token_ms[0],
            summary.first_token_ms[1],
            summary.total_ms[1],
            self.refusal_ms[0],
            self.refusal_ms[1],
            self.refusal_ms[2],
            self.small_first_token_ms,
        ];
        cells.extend(times.map(|value| format!("{value:.0}")));
        cells.push(format!("{} of {}", self.small_refused, self.small_calls));
        cells.push(format!(
            "{:.0} to {:.0}",
            self.retry_after_ms_range[0], self.retry_after_ms_range[1]
        ));
        cells
    }
}
