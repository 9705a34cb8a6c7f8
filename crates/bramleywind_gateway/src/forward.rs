//! The path of a request: reading it, sending it to an endpoint, and passing the answer on.

mod request_forwarder;
mod body_reader;
mod call_failure;
mod event_scanner;
mod exchange;
mod request_handler;
mod outcome;
mod refusal;
mod request_context;
mod request_trace;
mod retry_decision;
mod stream_relay;
mod stream_source;

pub use call_failure::{CallFailure, FailureKind};
pub use event_scanner::{EventScanner, ScannedEvents};
pub use request_handler::handle_request;
pub use outcome::RequestOutcome;
pub use refusal::{Refusal, RefusalReason};
pub use request_context::RequestContext;
pub use request_trace::RequestTrace;
pub use retry_decision::{AttemptCounts, RetryDecision};
