use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bramleywind_types::{EndpointId, InstanceId, ModelId};

/// How long an endpoint is passed over after it declined a request.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// How long an endpoint counts as down after a connection failed. A little longer than the interval between
/// two load polls, the next of which tells whether it is back.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// How long an endpoint's own announcement that it is leaving counts. The instance list lags, but names a
/// leaving instance within this time; afterwards only the list counts, since the instance may be a new one.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(30);

/// Which endpoints may be sent new work.
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
    /// The loaded models of the endpoints that report them.
    models: BTreeMap<EndpointId, BTreeSet<Box<str>>>,
}

impl EndpointHealth {
    /// Takes over the instances that the instance list marks as leaving.
    pub fn set_leaving(&mut self, instances: BTreeSet<InstanceId>) {
        self.leaving_instances = instances;
    }

    /// Notes that an endpoint said that it is leaving.
    pub fn record_announcement(&mut self, endpoint: &EndpointId, now: Instant) {
        self.announced.insert(endpoint.clone(), now + ANNOUNCEMENT_TIME);
    }

    /// Notes that an endpoint declined a request.
    pub fn record_declined(&mut self, endpoint: &EndpointId, now: Instant) {
        self.avoided.insert(endpoint.clone(), now + AVOID_TIME);
    }

    /// Notes that an endpoint could not be connected to, or crashed.
    pub fn record_down(&mut self, endpoint: &EndpointId, now: Instant) {
        self.down.insert(endpoint.clone(), now + DOWN_TIME);
    }

    /// Notes that an endpoint answered.
    pub fn record_up(&mut self, endpoint: &EndpointId) {
        self.down.remove(endpoint);
    }

    /// Notes the loaded models that an endpoint reports; nothing if its report does not list them.
    pub fn record_models(&mut self, endpoint: &EndpointId, models: Option<BTreeSet<Box<str>>>) {
        match models {
            Some(models) => self.models.insert(endpoint.clone(), models),
            None => self.models.remove(endpoint),
        };
    }

    /// Whether the endpoint reports its loaded models and the model is not among them.
    pub fn lacks_model(&self, endpoint: &EndpointId, model: &ModelId) -> bool {
        self.models.get(endpoint).is_some_and(|models| !models.contains(model.as_str()))
    }

    /// Whether the endpoint could not be reached a moment ago.
    pub fn is_down(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.down.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Whether the endpoint is leaving, by the list or its own word.
    pub fn is_leaving(&self, endpoint: &EndpointId, instance: &InstanceId, now: Instant) -> bool {
        self.leaving_instances.contains(instance)
            || self.announced.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Whether the endpoint declined a request a moment ago.
    pub fn is_avoided(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.avoided.get(endpoint).is_some_and(|until| now < *until)
    }
}
