//! Counters and histograms, served as text.

mod gateway_metrics;

pub use gateway_metrics::GatewayMetrics;
