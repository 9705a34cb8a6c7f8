use bramleywind_types::EndpointId;

use crate::{LoadReport, SmoothedValue};

/// How much one finished request changes the measured speeds.
const SPEED_WEIGHT: f64 = 0.1;

/// How much one report changes the estimate of other routers' requests. A report is about as old as a request
/// takes, so that the single report says little of the present and the average over several says more.
const OTHERS_WEIGHT: f64 = 0.3;

/// How much a prompt that looks cached changes the speed for uncached ones.
const CORRECTION_WEIGHT: f64 = 0.002;

/// What this router knows of one endpoint.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct EndpointState {
    /// The endpoint.
    pub id: EndpointId,
    /// How many requests it runs at once.
    pub slots: u32,
    /// This router's requests that the endpoint has not finished.
    pub in_flight: u32,
    /// The latest report, if there was one.
    pub report: Option<LoadReport>,
    /// Requests of other routers, as an average over the reports.
    pub others_in_flight: SmoothedValue,
    /// How many slots this router may take whatever the reports show: its equal part among the routers.
    pub own_share: u32,
    /// The in-flight count at the time of the poll before this one: what the latest report, which lags, is
    /// likely to contain of this router's own work.
    in_flight_at_poll: u32,
    /// Milliseconds from sending to the first token, for each prompt token that was not cached, while the
    /// endpoint had a free slot.
    pub prefill_ms_per_token: SmoothedValue,
    /// The same where the prompt's prefix was cached.
    pub cached_ms_per_token: SmoothedValue,
    /// Milliseconds between tokens.
    pub ms_per_token: SmoothedValue,
    /// Milliseconds that a request occupies a slot.
    pub service_ms: SmoothedValue,
}

impl EndpointState {
    /// An endpoint of which nothing is known but its size.
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

    /// Takes in a load report. Reports lag by about one poll, so this router's work of the previous poll is
    /// subtracted rather than that of now.
    pub fn apply_report(&mut self, report: LoadReport) {
        let others = report.accepted().saturating_sub(self.in_flight_at_poll);
        self.others_in_flight.add(f64::from(others));
        self.in_flight_at_poll = self.in_flight;
        self.report = Some(report);
    }

    /// Takes in a first token's time for each prompt token. The prefix counts as cached if it took less than
    /// half of the time that uncached prompts take.
    pub(crate) fn record_prefill(&mut self, ms_per_token: f64) {
        let uncached = self.prefill_ms_per_token.current();
        let was_cached = uncached.is_some_and(|uncached| ms_per_token < uncached / 2.0);
        if was_cached {
            self.cached_ms_per_token.add(ms_per_token);
            // Corrects a speed that was measured too low: else all later prompts would look cached for ever.
            self.prefill_ms_per_token.add_weighted(ms_per_token, CORRECTION_WEIGHT);
        } else {
            self.prefill_ms_per_token.add(ms_per_token);
        }
    }

    /// All requests that the endpoint holds by the best estimate: other routers' by report, this one's by
    /// its own count.
    pub fn estimated_in_flight(&self) -> u32 {
        let others = self.others_in_flight.current().unwrap_or_default().round() as u32;
        others.saturating_add(self.in_flight)
    }

    /// Whether a further request may be sent: it would likely start at once, or this router holds less than
    /// its share.
    ///
    /// Without the share, a router that finds the slots taken in each report never gets one under overload,
    /// because the other routers fill every slot that they free long before the next report.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.own_share || self.estimated_in_flight() < self.slots
    }

    /// Divides the slots among the routers. The part is rounded down, so that all parts together fit; with
    /// more routers than slots only the reports count. They also do for a router that sees no other one: it
    /// may be cut off from routers that still use the endpoint.
    pub fn divide_slots(&mut self, router_count: u32) {
        self.own_share = if router_count > 1 { self.slots / router_count } else { 0 };
    }

    /// The share of slots in use; above 1 where requests wait.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.estimated_in_flight()) / f64::from(self.slots)
    }
}
