//! Endpoints that limit the rate of requests that they take from all gateways together.
//!
//! Load pattern: an endpoint in need names a rate below what placement would send it, perhaps less than one request for each
//! gateway. No gateway may send anything on its own then, since the sum over the fleet would exceed the rate, however small
//! the share of each. So one gateway for each endpoint, chosen by rendezvous hash, issues a permit for each request
//! ([`PermitBucket`]); the others ask it, and place requests elsewhere if they get none. Gateways can disagree for seconds
//! on which of them that is. Whoever may not be the only one issues a share of the permits that keeps the sum below what
//! endpoints tolerate ([`IssuerRole`]).

mod issuer_role;
mod permit_bucket;
mod permit_messages;
mod rate_limit;
mod rate_outbox;
mod rate_source;
mod rate_statement;
mod request_rate;
mod return_schedule;
mod service_closure;

pub use issuer_role::IssuerRole;
pub use permit_bucket::PermitBucket;
pub use permit_messages::{PermitReply, PermitRequest, RateNotice, RateReport};
pub use rate_limit::{RateChange, RateLimit};
pub use rate_outbox::RateOutbox;
pub use rate_source::RateSource;
pub use rate_statement::RateStatement;
pub use request_rate::{ParseRateError, RequestRate};
pub use return_schedule::ReturnSchedule;
pub use service_closure::ServiceClosure;
