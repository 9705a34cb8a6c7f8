//! The messages by which gateways tell each other about the rates of endpoints, and ask for permits.

use std::time::{Duration, Instant};

use bramleywind_macros::domain_type;
use bramleywind_types::EndpointId;

use super::RequestRate;

/// What a gateway knows of the rate that an endpoint takes.
#[domain_type]
pub struct RateReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its start, in Unix milliseconds, if the registry names it.
    pub started_at_ms: Option<u64>,
    /// The rate that it takes; `None` if it takes any.
    pub rate: Option<RequestRate>,
    /// How long ago it said so, in milliseconds. Clocks of instances differ, and a message takes only milliseconds.
    pub age_ms: u64,
}

impl RateReport {
    /// When the endpoint said so, by the clock of the receiver of a report that arrived at `now`. `None` if that is before all
    /// that the clock can tell.
    pub fn stated_at(&self, now: Instant) -> Option<Instant> {
        now.checked_sub(Duration::from_millis(self.age_ms))
    }
}

/// Reports for another gateway. The answer has an empty body.
#[domain_type]
pub struct RateNotice {
    /// The reports.
    pub reports: Vec<RateReport>,
}

/// A question whether a request may be sent to an endpoint that limits its requests.
#[domain_type]
pub struct PermitRequest {
    /// What the asker knows of the endpoint.
    pub report: RateReport,
    /// The rank of the request; 0 is the most urgent.
    pub rank: u32,
}

/// The answer to a [`PermitRequest`].
#[domain_type]
pub enum PermitReply {
    /// The request may be sent at once.
    Granted,
    /// The request must not be sent. The asker may ask for another one after this time, in milliseconds.
    Denied(u64),
    /// The endpoint takes any rate, according to this report.
    Unlimited(RateReport),
    /// The gateway asked issues no permits for the endpoint.
    NotIssuer,
}
