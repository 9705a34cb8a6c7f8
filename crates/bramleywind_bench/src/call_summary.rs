use hdrhistogram::Histogram;

use crate::CallRecord;

/// Microseconds in a millisecond; histograms hold whole microseconds.
const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;

/// The percentiles of the whole answers among some calls, and the counts of the others.
#[derive(Debug, Clone, PartialEq)]
pub struct CallSummary {
    /// All calls.
    pub calls: usize,
    /// Calls with a whole answer.
    pub whole: usize,
    /// Refused calls.
    pub refused: usize,
    /// Median, 95th and 99th percentile of the time to the first token, in milliseconds.
    pub first_token_ms: [f64; 3],
    /// Median, 95th and 99th percentile of the time to the end, in milliseconds.
    pub total_ms: [f64; 3],
    /// Tokens of whole answers that did not arrive.
    pub lost_tokens: u64,
    /// Tokens that arrived late.
    pub late_tokens: u64,
    /// Tokens that arrived.
    pub tokens: u64,
    /// The 99th percentile of how late the client sent calls, in milliseconds.
    pub client_lag_ms: f64,
}

/// A percentile, between 0 and 100, of values in milliseconds; zero if there are none.
///
/// ```
/// assert!((bramleywind_bench::percentile([1.0, 2.0, 9.0], 50.0) - 2.0).abs() < 0.01);
/// ```
pub fn percentile(values: impl IntoIterator<Item = f64>, percent: f64) -> f64 {
    histogram(values).value_at_percentile(percent) as f64 / MICROSECONDS_PER_MILLISECOND
}

fn histogram(values: impl IntoIterator<Item = f64>) -> Histogram<u64> {
    // Three significant figures always make a valid histogram, which grows as needed.
    let mut histogram = Histogram::new(3).expect("three significant figures are supported");
    for value in values {
        // A histogram that grows refuses no value.
        let _ = histogram.record((value * MICROSECONDS_PER_MILLISECOND).max(0.0) as u64);
    }
    histogram
}

fn percentiles(values: impl IntoIterator<Item = f64>) -> [f64; 3] {
    let histogram = histogram(values);
    [50.0, 95.0, 99.0]
        .map(|percent| histogram.value_at_percentile(percent) as f64 / MICROSECONDS_PER_MILLISECOND)
}

impl CallSummary {
    /// Summarizes calls.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a CallRecord>) -> Self {
        let records: Vec<_> = records.into_iter().collect();
        let whole: Vec<_> = records.iter().filter(|record| record.is_whole()).collect();
        let lost = whole.iter().map(|record| record.asked_tokens.saturating_sub(record.tokens));
        Self {
            calls: records.len(),
            whole: whole.len(),
            refused: records.iter().filter(|record| record.is_refused()).count(),
            first_token_ms: percentiles(whole.iter().filter_map(|record| record.first_token_ms)),
            total_ms: percentiles(whole.iter().map(|record| record.total_ms)),
            lost_tokens: lost.map(u64::from).sum(),
            late_tokens: records.iter().map(|record| u64::from(record.late_tokens)).sum(),
            tokens: records.iter().map(|record| u64::from(record.tokens)).sum(),
            client_lag_ms: percentile(records.iter().map(|record| record.client_lag_ms), 99.0),
        }
    }
}
