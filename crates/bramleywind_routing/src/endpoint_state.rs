use bramleywind_types::EndpointId;

use crate::{LoadReport, SmoothedValue};

/// The weight of one request in the averages of measured speeds and service times.
const SPEED_WEIGHT: f64 = 0.1;

/// The weight of one load report in the estimate of other routers' requests.
///
/// A report is about as old as the duration of a request, so an average over several reports describes the present
/// better than the latest one.
const OTHERS_WEIGHT: f64 = 0.3;

/// The weight of a prompt that looks cached in the average speed for uncached prompts.
const CORRECTION_WEIGHT: f64 = 0.002;

/// Holds the load and the measured speeds of one endpoint, as this router sees them.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct EndpointState {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// The number of this router's requests that the endpoint has not finished.
    pub in_flight: u32,
    /// The latest load report, or `None` if there has been none.
    pub report: Option<LoadReport>,
    /// The number of requests of other routers, averaged over the load reports.
    pub others_in_flight: SmoothedValue,
    /// The number of slots that this router may use whatever the reports show: its equal share among the routers.
    pub own_share: u32,
    /// The in-flight count when the latest report was applied. Reports lag by about one poll, so the next report is
    /// likely to include this many of this router's own requests.
    in_flight_at_poll: u32,
    /// Milliseconds from sending to the first token, per prompt token, for prompts whose prefix was not cached.
    /// Measured only while the endpoint had a free slot.
    pub prefill_ms_per_token: SmoothedValue,
    /// Milliseconds from sending to the first token, per prompt token, for prompts whose prefix was cached.
    pub cached_ms_per_token: SmoothedValue,
    /// Milliseconds between generated tokens.
    pub ms_per_token: SmoothedValue,
    /// Milliseconds that a request occupies a slot.
    pub service_ms: SmoothedValue,
}

impl EndpointState {
    /// Creates the state of an endpoint that has not been measured.
    pub fn new(id: EndpointId, slots: u32) -> Self {
        Self {
            id,
            slots: slots.max(1),
            in_flight: 0,
            report: None,
            others_in_flight: SmoothedValue::new(OTHERS_WEIGHT),
            own_share: 0,
            in_flight_at_poll: 0,
            prefill_ms_per_token: SmoothedValue::new(SPEED_WEIGHT),
            cached_ms_per_token: SmoothedValue::new(SPEED_WEIGHT),
            ms_per_token: SmoothedValue::new(SPEED_WEIGHT),
            service_ms: SmoothedValue::new(SPEED_WEIGHT),
        }
    }

    /// Applies a load report. Reports lag by about one poll, so the requests that this router had in flight at the
    /// previous poll are subtracted, rather than the current ones.
    pub fn apply_report(&mut self, report: LoadReport) {
        let others = report.accepted().saturating_sub(self.in_flight_at_poll);
        self.others_in_flight.add(f64::from(others));
        self.in_flight_at_poll = self.in_flight;
        self.report = Some(report);
    }

    /// Records the time to the first token, per prompt token. The prefix is taken as cached if that is less than half
    /// of the average for uncached prompts.
    pub(crate) fn record_prefill(&mut self, ms_per_token: f64) {
        let uncached = self.prefill_ms_per_token.current();
        let was_cached = uncached.is_some_and(|uncached| ms_per_token < uncached / 2.0);
        if was_cached {
            self.cached_ms_per_token.add(ms_per_token);
            // If the average for uncached prompts is too high, every prompt looks cached and would never correct
            // it, so prompts that look cached also count in it, with a low weight.
            self.prefill_ms_per_token.add_weighted(ms_per_token, CORRECTION_WEIGHT);
        } else {
            self.prefill_ms_per_token.add(ms_per_token);
        }
    }

    /// Returns the estimated number of requests at the endpoint: other routers' requests by the load reports, plus
    /// this router's own count.
    pub fn estimated_in_flight(&self) -> u32 {
        let others = self.others_in_flight.current().unwrap_or_default().round() as u32;
        others.saturating_add(self.in_flight)
    }

    /// Reports whether another request may be sent: it would probably start at once, or this router uses fewer slots
    /// than its share.
    ///
    /// Without the share, a router that sees all slots taken in every report would get none under overload, because
    /// the other routers refill each slot that they free long before the next report.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.own_share || self.estimated_in_flight() < self.slots
    }

    /// Sets this router's share of the slots, given the number of routers.
    ///
    /// The share is rounded down, so that the shares of all routers fit into the slots; with more routers than slots
    /// it is 0, and only the load reports count. It is also 0 for a router that sees no other one, which may be cut
    /// off from routers that still use the endpoint.
    pub fn divide_slots(&mut self, router_count: u32) {
        self.own_share = if router_count > 1 { self.slots / router_count } else { 0 };
    }

    /// Returns the ratio of estimated requests to slots. It is above 1 while requests wait at the endpoint.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.estimated_in_flight()) / f64::from(self.slots)
    }
}
