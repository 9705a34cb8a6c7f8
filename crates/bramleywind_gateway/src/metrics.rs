//! Prometheus metrics, served in the text format.

mod gateway_metrics;

pub use gateway_metrics::GatewayMetrics;
