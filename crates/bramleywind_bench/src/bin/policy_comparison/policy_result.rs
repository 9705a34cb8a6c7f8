use bramleywind_bench::{CallSummary, EngineTotals};
use bramleywind_routing::PolicyKind;

/// The results of one policy.
pub(crate) struct PolicyResult {
    pub(crate) policy: PolicyKind,
    pub(crate) summary: CallSummary,
    /// The share of requests whose prompt started with a cached block.
    pub(crate) hit_rate: f64,
    /// The maximum and the minimum over all engines of the ratio of the engine's share in the requests to its
    /// share in the capacity.
    pub(crate) share_range: (f64, f64),
}

impl PolicyResult {
    /// Computes the result from the calls, the engines' totals before and after them, and the capacity shares.
    pub(crate) fn new(
        policy: PolicyKind,
        summary: CallSummary,
        (before, after): (&[EngineTotals], &[EngineTotals]),
        shares: &[f64],
    ) -> Self {
        let difference = |field: fn(&EngineTotals) -> u64| -> Vec<f64> {
            let pairs = before.iter().zip(after);
            pairs.map(|(before, after)| (field(after) - field(before)) as f64).collect()
        };
        let started = difference(|totals| totals.started);
        let hits: f64 = difference(|totals| totals.prefix_hits).iter().sum();
        let sum = started.iter().sum::<f64>().max(1.0);
        let relative = || started.iter().zip(shares).map(|(started, share)| started / sum / share);
        let share_range =
            (relative().fold(0.0, f64::max), relative().fold(f64::INFINITY, f64::min));
        Self { policy, summary, hit_rate: hits / sum, share_range }
    }

    /// Returns the cells of the result's table row.
    pub(crate) fn cells(&self, engines: usize) -> Vec<String> {
        let summary = &self.summary;
        let counts = [summary.calls, summary.whole, summary.refused];
        let times = summary.first_token_ms.into_iter().chain(summary.total_ms);
        let mut cells = vec![engines.to_string(), self.policy.to_string()];
        cells.extend(counts.map(|count| count.to_string()));
        cells.extend(times.map(|time| format!("{time:.0}")));
        cells.push(format!("{:.3}", self.hit_rate));
        cells.push(format!("{:.2} / {:.2}", self.share_range.0, self.share_range.1));
        cells.push(format!("{:.1}", summary.client_lag_ms));
        cells
    }
}
