//! Compares an engine's desired state with the state that it reports.

use crate::{EngineInventory, OrderAction, WantedEngine};

/// Returns the actions whose results the engine does not report, in the order in which to send them.
///
/// ```
/// use bramleywind_orders::{EngineInventory, OrderAction, WantedEngine, missing_orders};
///
/// let wanted = WantedEngine {
///     endpoint: "engine-1".parse().unwrap(),
///     address: "192.0.2.11:8080".parse().unwrap(),
///     checks_fencing: true,
///     actions: vec![OrderAction::ChangeRole { role: "prefill".parse().unwrap() }],
/// };
/// let mut inventory = EngineInventory::default();
/// assert_eq!(missing_orders(&wanted, &inventory), [&wanted.actions[0]]);
/// inventory.role = Some("prefill".into());
/// assert!(missing_orders(&wanted, &inventory).is_empty());
/// ```
pub fn missing_orders<'a>(
    wanted: &'a WantedEngine,
    inventory: &EngineInventory,
) -> Vec<&'a OrderAction> {
    wanted.actions.iter().filter(|action| !inventory.satisfies(action)).collect()
}

/// Returns the loaded models that the configuration does not ask for. No order unloads them.
///
/// ```
/// use bramleywind_orders::{EngineInventory, OrderAction, WantedEngine, unexpected_models};
///
/// let wanted = WantedEngine {
///     endpoint: "engine-1".parse().unwrap(),
///     address: "192.0.2.11:8080".parse().unwrap(),
///     checks_fencing: true,
///     actions: vec![OrderAction::LoadModel { model: "weave".parse().unwrap() }],
/// };
/// let models = ["weave".into(), "left-over".into()].into();
/// let inventory = EngineInventory { models, ..EngineInventory::default() };
/// assert_eq!(unexpected_models(&wanted, &inventory), ["left-over".into()]);
/// ```
pub fn unexpected_models(wanted: &WantedEngine, inventory: &EngineInventory) -> Vec<Box<str>> {
    let is_wanted = |name: &str| {
        wanted.actions.iter().any(
            |action| matches!(action, OrderAction::LoadModel { model } if model.as_str() == name),
        )
    };
    inventory.models.iter().filter(|name| !is_wanted(name)).cloned().collect()
}

impl EngineInventory {
    /// Reports whether the engine already has the result that the action asks for.
    pub fn satisfies(&self, action: &OrderAction) -> bool {
        match action {
            OrderAction::ChangeRole { role } => self.role.as_deref() == Some(role.as_str()),
            OrderAction::LoadModel { model } => self.models.contains(model.as_str()),
            OrderAction::LoadVersion { model, version } => {
                self.versions.get(model.as_str()).is_some_and(|found| **found == *version.as_str())
            }
            OrderAction::LoadAdapter { model, adapter } => self
                .adapters
                .get(model.as_str())
                .is_some_and(|found| found.contains(adapter.as_str())),
        }
    }
}
