use hdrhistogram::Histogram;

use crate::CallRecord;

/// Converts milliseconds to the whole microseconds that histograms hold.
const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;

/// Counts of calls by outcome, and percentiles of the calls with a complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct CallSummary {
    /// Number of calls.
    pub calls: usize,
    /// Number of calls with a complete answer.
    pub whole: usize,
    /// Number of refused calls.
    pub refused: usize,
    /// Median, 95th and 99th percentile of the time to the first token, in milliseconds.
    pub first_token_ms: [f64; 3],
    /// Median, 95th and 99th percentile of the time to the end, in milliseconds.
    pub total_ms: [f64; 3],
    /// Tokens missing from complete answers.
    pub lost_tokens: u64,
    /// Tokens that arrived late.
    pub late_tokens: u64,
    /// Tokens that arrived.
    pub tokens: u64,
    /// The 99th percentile of the delay with which the client sent calls, in milliseconds.
    pub client_lag_ms: f64,
}

/// Returns a percentile, between 0 and 100, of values in milliseconds, or zero if there are no values.
///
/// ```
/// assert!((bramleywind_bench::percentile([1.0, 2.0, 9.0], 50.0) - 2.0).abs() < 0.01);
/// ```
pub fn percentile(values: impl IntoIterator<Item = f64>, percent: f64) -> f64 {
    histogram(values).value_at_percentile(percent) as f64 / MICROSECONDS_PER_MILLISECOND
}

fn histogram(values: impl IntoIterator<Item = f64>) -> Histogram<u64> {
    // Three significant figures are always valid; the histogram resizes itself as needed.
    let mut histogram = Histogram::new(3).expect("three significant figures are supported");
    for value in values {
        // A histogram that resizes itself accepts all values.
        let _ = histogram.record((value * MICROSECONDS_PER_MILLISECOND).max(0.0) as u64);
    }
    histogram
}

/// Returns the median, the 95th and the 99th percentile of values in milliseconds.
fn percentiles(values: impl IntoIterator<Item = f64>) -> [f64; 3] {
    let histogram = histogram(values);
    [50.0, 95.0, 99.0]
        .map(|percent| histogram.value_at_percentile(percent) as f64 / MICROSECONDS_PER_MILLISECOND)
}

impl CallSummary {
    /// Computes the summary of the given calls.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a CallRecord>) -> Self {
        let records: Vec<_> = records.into_iter().collect();
        let complete: Vec<_> = records.iter().filter(|record| record.is_whole()).collect();
        let lost = complete.iter().map(|record| record.asked_tokens.saturating_sub(record.tokens));
        Self {
            calls: records.len(),
            whole: complete.len(),
            refused: records.iter().filter(|record| record.is_refused()).count(),
            first_token_ms: percentiles(complete.iter().filter_map(|record| record.first_token_ms)),
            total_ms: percentiles(complete.iter().map(|record| record.total_ms)),
            lost_tokens: lost.map(u64::from).sum(),
            late_tokens: records.iter().map(|record| u64::from(record.late_tokens)).sum(),
            tokens: records.iter().map(|record| u64::from(record.tokens)).sum(),
            client_lag_ms: percentile(records.iter().map(|record| record.client_lag_ms), 99.0),
        }
    }
}
