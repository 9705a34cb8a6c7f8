use std::net::SocketAddr;

use bramleywind_types::{AdapterName, FencingToken, ModelId, RoleName, VersionName};
use serde::Serialize;

use crate::OrderAction;

/// The body of `POST /v1/orders`.
///
/// ```
/// use bramleywind_orders::{EngineOrder, OrderAction};
/// use bramleywind_types::FencingToken;
///
/// let action = OrderAction::ChangeRole { role: "prefill".parse().unwrap() };
/// let order = EngineOrder::new(&action, FencingToken(7), None);
/// let json = serde_json::to_string(&order).unwrap();
/// assert_eq!(json, r#"{"order":"change_role","role":"prefill","fencing":7}"#);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineOrder {
    /// The kind of order.
    pub order: &'static str,
    /// The model to load, or the model of the version or adapter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The adapter to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The version to load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionName>,
    /// The role to change to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<RoleName>,
    /// The URL of the weights.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weights: Option<Box<str>>,
    /// The fencing token of the sender's lease.
    pub fencing: FencingToken,
}

impl EngineOrder {
    /// Creates the order for an action. It contains the URL of the weights if the action needs any and the
    /// address of the weight store is known.
    pub fn new(
        action: &OrderAction,
        fencing: FencingToken,
        weight_store: Option<SocketAddr>,
    ) -> Self {
        let weights = weight_store.zip(action.weights());
        let mut order = Self {
            order: action.kind(),
            model: None,
            adapter: None,
            version: None,
            role: None,
            weights: weights
                .map(|(address, name)| format!("http://{address}/v1/weights/{name}").into()),
            fencing,
        };
        match action.clone() {
            OrderAction::ChangeRole { role } => order.role = Some(role),
            OrderAction::LoadModel { model } => order.model = Some(model),
            OrderAction::LoadVersion { model, version } => {
                (order.model, order.version) = (Some(model), Some(version));
            }
            OrderAction::LoadAdapter { model, adapter } => {
                (order.model, order.adapter) = (Some(model), Some(adapter));
            }
        }
        order
    }
}
