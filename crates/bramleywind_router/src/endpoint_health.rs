use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bramleywind_types::{EndpointId, InstanceId, ModelId};

/// How long an endpoint gets no new requests after it declined one.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// How long an endpoint counts as down after a failed connection. Slightly longer than the interval of load
/// polls, the next of which shows whether the endpoint is back.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// How long an endpoint's own announcement that it is leaving is valid. The instance list lags, but marks a
/// leaving instance within this time. Afterwards only the list counts, because the instance may have been
/// replaced by a new one.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(30);

/// Tracks which endpoints may get new requests.
///
/// ```
/// use bramleywind_router::EndpointHealth;
///
/// let (engine, model) = ("engine-1".parse().unwrap(), "weave".parse().unwrap());
/// let mut health = EndpointHealth::default();
/// assert!(!health.lacks_model(&engine, &model), "what is not reported is not missing");
/// health.record_models(&engine, Some(["warp".into()].into()));
/// assert!(health.lacks_model(&engine, &model));
/// health.record_models(&engine, None);
/// assert!(!health.lacks_model(&engine, &model));
/// ```
#[derive(Debug, Default)]
pub struct EndpointHealth {
    leaving_instances: BTreeSet<InstanceId>,
    announced: BTreeMap<EndpointId, Instant>,
    avoided: BTreeMap<EndpointId, Instant>,
    down: BTreeMap<EndpointId, Instant>,
    /// The loaded models of each endpoint that reports them.
    models: BTreeMap<EndpointId, BTreeSet<Box<str>>>,
}

impl EndpointHealth {
    /// Replaces the set of instances that the instance list marks as leaving.
    pub fn set_leaving(&mut self, instances: BTreeSet<InstanceId>) {
        self.leaving_instances = instances;
    }

    /// Records that an endpoint announced that it is leaving.
    pub fn record_announcement(&mut self, endpoint: &EndpointId, now: Instant) {
        self.announced.insert(endpoint.clone(), now + ANNOUNCEMENT_TIME);
    }

    /// Records that an endpoint declined a request.
    pub fn record_declined(&mut self, endpoint: &EndpointId, now: Instant) {
        self.avoided.insert(endpoint.clone(), now + AVOID_TIME);
    }

    /// Records that an endpoint crashed or could not be connected to.
    pub fn record_down(&mut self, endpoint: &EndpointId, now: Instant) {
        self.down.insert(endpoint.clone(), now + DOWN_TIME);
    }

    /// Records that an endpoint answered, so that it no longer counts as down.
    pub fn record_up(&mut self, endpoint: &EndpointId) {
        self.down.remove(endpoint);
    }

    /// Records the loaded models that an endpoint reports, or `None` if its report does not list them.
    pub fn record_models(&mut self, endpoint: &EndpointId, models: Option<BTreeSet<Box<str>>>) {
        match models {
            Some(models) => self.models.insert(endpoint.clone(), models),
            None => self.models.remove(endpoint),
        };
    }

    /// Returns true if the endpoint reports its loaded models and `model` is not among them.
    pub fn lacks_model(&self, endpoint: &EndpointId, model: &ModelId) -> bool {
        self.models.get(endpoint).is_some_and(|models| !models.contains(model.as_str()))
    }

    /// Returns true if the endpoint crashed or could not be connected to within the last 1.5 seconds.
    pub fn is_down(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.down.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Returns true if the endpoint is leaving, according to the instance list or its own announcement.
    pub fn is_leaving(&self, endpoint: &EndpointId, instance: &InstanceId, now: Instant) -> bool {
        self.leaving_instances.contains(instance)
            || self.announced.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Returns true if the endpoint declined a request within the last second.
    pub fn is_avoided(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.avoided.get(endpoint).is_some_and(|until| now < *until)
    }
}
