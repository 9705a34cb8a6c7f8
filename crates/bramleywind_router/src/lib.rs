//! The router: its listeners, request handling, background tasks and drain.
//!
//! Billing, retry, key, weight and drain decisions are pure functions and types, so that each rule of the design
//! can be tested without a socket. Everything else runs on a single thread and shares state that is never
//! borrowed across an await.

mod admission;
mod args;
mod attempt_runner;
pub mod background;
mod bearer_key;
mod bill_decision;
mod caller_channel;
mod caller_handler;
mod chat_attempts;
mod chat_request;
mod daemon;
mod drain_state;
mod endpoint_call;
mod endpoint_health;
mod engine_event;
mod engine_order_client;
mod entry_list;
mod entry_weights;
mod event_scanner;
mod funds_refusal;
mod head_timeout_response;
mod isolated_retry;
mod key_decision;
mod key_registry;
mod logger;
mod metered_store;
mod operator_port;
mod order_state;
mod path_check;
mod peer_request_handler;
mod refusal_response;
mod repeat_tracker;
mod request_context;
mod request_limits;
mod request_task;
mod retry_decision;
mod route_table;
mod router;
mod router_link;
mod router_metrics;
mod router_state;
mod service_attempts;
mod state_dump;

pub use admission::{Admission, AdmissionRequest, EndpointSlot};
pub use args::Args;
pub use attempt_runner::{AttemptOutcome, AttemptRunner, AttemptTarget};
pub use bearer_key::{bearer_key, find_key, secrets_match};
pub use bill_decision::{AnswerEnding, BillDecision, BillInput, ReportedUsage, decide_bill};
pub use caller_channel::{CallerChannel, CallerGone};
pub use caller_handler::handle_caller_request;
pub use chat_attempts::ChatAttempts;
pub use chat_request::{ChatRequest, DEFAULT_ANSWER_TOKENS};
pub use daemon::run_daemon;
pub use drain_state::{DrainPhase, DrainState};
pub use endpoint_call::{
    CallTimeouts, DeclineRule, EndpointAnswer, FailedCall, call_endpoint, call_endpoint_before,
};
pub use endpoint_health::EndpointHealth;
pub use engine_event::{DONE_DATA, EngineEvent};
pub use engine_order_client::EngineOrderClient;
pub use entry_list::{ENTRY_VALIDITY, entry_list};
pub use entry_weights::entry_weight;
pub use event_scanner::{EventFields, EventScanner, MAX_EVENT_BYTES};
pub use funds_refusal::funds_refusal;
pub use key_decision::{KeyDecision, KeyOutcome, KeyTicket};
pub use key_registry::KeyRegistry;
pub use logger::new_logger;
pub use metered_store::MeteredStore;
pub use operator_port::{OperatorAccess, RouterStatusResponse, handle_operator_request};
pub use order_state::OrderState;
pub use path_check::is_unambiguous_path;
pub use peer_request_handler::PeerRequestHandler;
pub use refusal_response::{
    LEAVING_HEADER, REQUEST_ID_HEADER, insert_request_id, json_response, refusal_event,
    refusal_response,
};
pub use repeat_tracker::{BilledRepeat, RepeatTracker};
pub use request_context::RequestContext;
pub use request_limits::RequestLimits;
pub use request_task::RequestTask;
pub use retry_decision::{
    AttemptFailure, MAX_ATTEMPTS, RetryDecision, RetryInput, decide_retry, failure_refusal,
};
pub use route_table::{KeyOwner, RouteTable, RouteTarget};
pub use router::{Router, RouterOptions, StartError};
pub use router_link::RouterLink;
pub use router_metrics::{
    CodeLabel, OrderLabel, OutcomeLabel, PeerLabel, RequestOutcome, RouterMetrics, StoreLabel,
};
pub use router_state::{RouterIdentity, RouterParts, RouterState, RunningGuard};
pub use service_attempts::{ServiceAttempts, ServiceRequest, end_to_end_headers};
pub use state_dump::StateDump;

/// The store client of the router, which counts its calls.
pub type RouterStore = MeteredStore<bramleywind_store::HttpStore>;
