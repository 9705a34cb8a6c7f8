use bramleywind_types::{AdapterName, ModelId, RoleName, VersionName};

/// The result that an order asks for. Executing the order twice has the same effect as executing it once.
///
/// ```
/// use bramleywind_orders::OrderAction;
///
/// let version = "v2".parse().unwrap();
/// let action = OrderAction::LoadVersion { model: "weave".parse().unwrap(), version };
/// assert_eq!(action.kind(), "load_version");
/// assert_eq!(action.weights().as_deref(), Some("weave/versions/v2"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderAction {
    /// Change to this role.
    ChangeRole {
        /// The role.
        role: RoleName,
    },
    /// Load the model.
    LoadModel {
        /// The model.
        model: ModelId,
    },
    /// Load this version of the model.
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionName,
    },
    /// Load the adapter of the model.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterName,
    },
}

impl OrderAction {
    /// Returns the kind of order, as named in the order's JSON and in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ChangeRole { .. } => "change_role",
            Self::LoadModel { .. } => "load_model",
            Self::LoadVersion { .. } => "load_version",
            Self::LoadAdapter { .. } => "load_adapter",
        }
    }

    /// Returns the name of the weights that the engine downloads for this order, or `None` if it downloads none.
    pub fn weights(&self) -> Option<String> {
        match self {
            Self::ChangeRole { .. } => None,
            Self::LoadModel { model } => Some(model.to_string()),
            Self::LoadVersion { model, version } => Some(format!("{model}/versions/{version}")),
            Self::LoadAdapter { model, adapter } => Some(format!("{model}/adapters/{adapter}")),
        }
    }
}
