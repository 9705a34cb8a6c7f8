use std::collections::{BTreeMap, BTreeSet};

use bramleywind_macros::domain_type;
use bramleywind_types::FencingToken;

/// The models, adapters, versions and role that an engine reports in its response to `GET /v1/orders`.
///
/// Names are plain strings, because an engine may have models whose names are not valid in the configuration.
///
/// ```
/// use bramleywind_orders::{EngineInventory, OrderAction};
///
/// let answer = r#"{ "models": ["weave"], "role": "prefill", "fencing": 4 }"#;
/// let inventory: EngineInventory = serde_json::from_str(answer).unwrap();
/// assert!(inventory.satisfies(&OrderAction::ChangeRole { role: "prefill".parse().unwrap() }));
/// assert!(!inventory.satisfies(&OrderAction::LoadModel { model: "warp".parse().unwrap() }));
/// ```
#[domain_type]
#[derive(Default)]
#[serde(default)]
pub struct EngineInventory {
    /// The loaded models.
    pub models: BTreeSet<Box<str>>,
    /// The loaded adapters, by model.
    pub adapters: BTreeMap<Box<str>, BTreeSet<Box<str>>>,
    /// The loaded versions, by model.
    pub versions: BTreeMap<Box<str>, Box<str>>,
    /// The role, or `None` until one is ordered.
    pub role: Option<Box<str>>,
    /// The highest fencing token of an accepted order.
    pub fencing: FencingToken,
}
