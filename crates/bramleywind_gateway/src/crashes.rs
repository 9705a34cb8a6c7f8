//! Requests that crash the endpoints they reach: their names, and what is known of each.

mod call_fingerprint;
mod endpoint_probe;
mod request_hash;

pub use call_fingerprint::CallFingerprint;
pub use endpoint_probe::{ProbeOutcome, probe_endpoint};
pub use request_hash::RequestHash;
