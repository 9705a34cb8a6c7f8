use std::collections::{BTreeMap, BTreeSet};

use bramleywind_macros::domain_type;
use bramleywind_types::FencingToken;

/// What an engine says that it has, the answer of `GET /v1/orders`. Names are text, because an engine may
/// have models that the configuration could not name.
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
    /// The models that are loaded.
    pub models: BTreeSet<Box<str>>,
    /// The adapters that are loaded, by model.
    pub adapters: BTreeMap<Box<str>, BTreeSet<Box<str>>>,
    /// The versions that are loaded, by model.
    pub versions: BTreeMap<Box<str>, Box<str>>,
    /// The role, once one was ordered.
    pub role: Option<Box<str>>,
    /// The highest fencing token of an accepted order.
    pub fencing: FencingToken,
}
