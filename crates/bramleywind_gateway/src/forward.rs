//! Request forwarding: admits a caller's request, sends it to endpoints with retries, and relays the response.

mod body_reader;
mod call_failure;
mod event_scanner;
mod exchange;
mod outcome;
mod refusal;
mod request_context;
mod request_forwarder;
mod request_handler;
mod request_trace;
mod retry_decision;
mod stream_relay;
mod stream_source;

pub use call_failure::{CallFailure, FailureKind};
pub use event_scanner::{EventScanner, ScannedEvents};
pub use outcome::RequestOutcome;
pub use refusal::{Refusal, RefusalReason};
pub use request_context::RequestContext;
pub use request_handler::handle_request;
pub use request_trace::RequestTrace;
pub use retry_decision::{AttemptCounts, RetryDecision};
