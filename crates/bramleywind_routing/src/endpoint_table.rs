use std::collections::BTreeMap;

use bramleywind_types::EndpointId;

use crate::{EndpointPolicy, EndpointState, LoadReport, RouteRequest};

/// The endpoints that this router knows, with the policy that chooses among them.
///
/// ```
/// use bramleywind_routing::{EndpointTable, PolicyKind, RouteRequest, SelectedPolicy};
///
/// let mut table = EndpointTable::new(SelectedPolicy::new(PolicyKind::TwoChoices, 7));
/// table.upsert("engine-1".parse().unwrap(), 8);
/// let request = RouteRequest { prefix: None, prompt_tokens: 10, answer_tokens: 100 };
/// let endpoint = table.begin(&request, |_| true).unwrap();
/// assert_eq!(table.state(&endpoint).unwrap().in_flight, 1);
/// table.finish(&endpoint);
/// ```
#[derive(Debug)]
pub struct EndpointTable<P> {
    states: BTreeMap<EndpointId, EndpointState>,
    router_count: u32,
    policy: P,
}

/// The contents of an [`EndpointTable`] for a state dump.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct EndpointTableDump {
    /// The endpoints, ordered by name.
    pub endpoints: Vec<EndpointState>,
}

impl<P: EndpointPolicy> EndpointTable<P> {
    /// Creates an empty table.
    pub fn new(policy: P) -> Self {
        Self { states: BTreeMap::new(), router_count: 1, policy }
    }

    /// Adds an endpoint, or changes the number of its slots and keeps its measurements.
    pub fn upsert(&mut self, id: EndpointId, slots: u32) {
        let state = self.states.entry(id.clone()).or_insert_with(|| EndpointState::new(id, slots));
        state.slots = slots.max(1);
        state.divide_slots(self.router_count);
    }

    /// Sets the number of routers that send to the endpoints, including this one.
    pub fn set_router_count(&mut self, router_count: u32) {
        self.router_count = router_count.max(1);
        for state in self.states.values_mut() {
            state.divide_slots(self.router_count);
        }
    }

    /// Removes the endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.states.retain(|id, _| keep(id));
    }

    /// Returns the state of an endpoint.
    pub fn state(&self, endpoint: &EndpointId) -> Option<&EndpointState> {
        self.states.get(endpoint)
    }

    /// Chooses an eligible endpoint and counts the request as in flight there. Returns `None` if no endpoint is
    /// eligible.
    pub fn begin(
        &mut self,
        request: &RouteRequest,
        is_eligible: impl Fn(&EndpointState) -> bool,
    ) -> Option<EndpointId> {
        let candidates: Vec<&EndpointState> =
            self.states.values().filter(|state| is_eligible(state)).collect();
        let index = self.policy.choose(request, &candidates)?;
        let state = candidates[index];
        self.policy.record_sent(request, state);
        let id = state.id.clone();
        if let Some(state) = self.states.get_mut(&id) {
            state.in_flight += 1;
        }
        Some(id)
    }

    /// Returns how many of this router's requests the eligible endpoints finish per millisecond, by the measured
    /// service times. Returns `None` before the first measurement, and while no request is in flight at a measured
    /// endpoint.
    pub fn finish_rate(&self, is_eligible: impl Fn(&EndpointState) -> bool) -> Option<f64> {
        let rate =
            |state: &EndpointState| Some(f64::from(state.in_flight) / state.service_ms.current()?);
        let eligible = self.states.values().filter(|state| is_eligible(state));
        let rate: f64 = eligible.filter_map(rate).sum();
        (rate > 0.0).then_some(rate)
    }

    /// Counts a request at the endpoint as no longer in flight.
    pub fn finish(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records the time from sending a request to its first token.
    ///
    /// The time is ignored if the endpoint probably had no free slot, because a wait for a slot says nothing about the
    /// speed of the endpoint.
    pub fn record_first_token(
        &mut self,
        endpoint: &EndpointId,
        request: &RouteRequest,
        elapsed_ms: f64,
    ) {
        if let Some(state) = self.states.get_mut(endpoint)
            && state.estimated_in_flight() <= state.slots
        {
            let prompt_tokens = f64::from(request.prompt_tokens.max(1));
            state.record_prefill(elapsed_ms / prompt_tokens);
        }
    }

    /// Records how long a finished answer occupied its slot, and its number of tokens.
    pub fn record_answer(&mut self, endpoint: &EndpointId, tokens: u32, elapsed_ms: f64) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.service_ms.add(elapsed_ms);
            state.ms_per_token.add(elapsed_ms / f64::from(tokens.max(1)));
        }
    }

    /// Applies a load report of an endpoint.
    pub fn record_report(&mut self, endpoint: &EndpointId, report: LoadReport) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.apply_report(report);
        }
    }

    /// Returns the contents for a state dump.
    pub fn dump(&self) -> EndpointTableDump {
        EndpointTableDump { endpoints: self.states.values().cloned().collect() }
    }
}
