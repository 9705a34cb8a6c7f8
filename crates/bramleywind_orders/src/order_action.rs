use bramleywind_types::{AdapterName, ModelId, RoleName, VersionName};

/// A result that an order asks for. Carrying it out twice comes to the same.
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
    /// Take on the role.
    ChangeRole {
        /// The role.
        role: RoleName,
    },
    /// Have the model loaded.
    LoadModel {
        /// The model.
        model: ModelId,
    },
    /// Have this version of the model loaded.
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionName,
    },
    /// Have the adapter of the model loaded.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterName,
    },
}

impl OrderAction {
    /// The name of the kind, as in the order and in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ChangeRole { .. } => "change_role",
            Self::LoadModel { .. } => "load_model",
            Self::LoadVersion { .. } => "load_version",
            Self::LoadAdapter { .. } => "load_adapter",
        }
    }

    /// The name of the weights that the engine fetches for it; nothing if it fetches none.
    pub fn weights(&self) -> Option<String> {
        match self {
            Self::ChangeRole { .. } => None,
            Self::LoadModel { model } => Some(model.to_string()),
            Self::LoadVersion { model, version } => Some(format!("{model}/versions/{version}")),
            Self::LoadAdapter { model, adapter } => Some(format!("{model}/adapters/{adapter}")),
        }
    }
}
