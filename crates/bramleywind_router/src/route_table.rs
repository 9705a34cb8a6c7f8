use std::collections::{BTreeMap, BTreeSet};

use bramleywind_config::{
    ConfigDocument, EndpointConfig, EndpointRole, KeyHash, ModelConfig, RouteConfig, ServiceConfig,
};
use bramleywind_types::{
    BudgetId, ConfigRevision, EndpointId, ModelId, Refusal, RefusalCode, RepeatAdvice, ServiceId,
    TokenCount, WorkspaceId,
};
use http::Method;

use crate::find_key;

/// The model or service that a request calls.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// A call to a model.
    Model(ModelId),
    /// A call to a plain service.
    Service(ServiceId),
}

/// The owner of a bearer key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The workspace that the key belongs to.
    pub workspace: WorkspaceId,
    /// The budget that pays for the requests with this key.
    pub budget: BudgetId,
}

/// The configuration in force, indexed for the lookups of requests.
#[derive(Debug)]
pub struct RouteTable {
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// The prepaid tokens that the configuration gives to each budget.
    pub budgets: BTreeMap<BudgetId, TokenCount>,
    /// The endpoints by their ids.
    pub endpoints: BTreeMap<EndpointId, EndpointConfig>,
    key_hashes: Vec<KeyHash>,
    key_owners: Vec<KeyOwner>,
    workspace_models: BTreeMap<WorkspaceId, BTreeSet<ModelId>>,
    workspace_services: BTreeMap<WorkspaceId, BTreeSet<ServiceId>>,
    models: BTreeMap<ModelId, ModelConfig>,
    services: BTreeMap<ServiceId, ServiceConfig>,
}

impl RouteTable {
    /// Builds the table from a validated configuration document.
    pub fn new(revision: ConfigRevision, document: ConfigDocument) -> Self {
        let mut table = Self {
            revision,
            budgets: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            key_hashes: Vec::new(),
            key_owners: Vec::new(),
            workspace_models: BTreeMap::new(),
            workspace_services: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
        };
        for workspace in document.workspaces {
            for key in workspace.keys {
                table.key_hashes.push(key.hash);
                let owner = KeyOwner { workspace: workspace.id.clone(), budget: key.budget };
                table.key_owners.push(owner);
            }
            let models = workspace.models.into_iter().collect();
            table.workspace_models.insert(workspace.id.clone(), models);
            let services = workspace.services.into_iter().collect();
            table.workspace_services.insert(workspace.id, services);
        }
        let budgets = document.budgets.into_iter();
        table.budgets = budgets.map(|budget| (budget.id, budget.prepaid_tokens)).collect();
        let models = document.models.into_iter();
        table.models = models.map(|model| (model.id.clone(), model)).collect();
        let services = document.services.into_iter();
        table.services = services.map(|service| (service.id.clone(), service)).collect();
        let endpoints = document.endpoints.into_iter();
        table.endpoints = endpoints.map(|endpoint| (endpoint.id.clone(), endpoint)).collect();
        table
    }

    /// Finds the owner of a bearer key.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalCode::Unauthorized`] if there is no key or it belongs to no workspace.
    pub fn authorize(&self, key: Option<&str>) -> Result<&KeyOwner, Refusal> {
        let unauthorized =
            |message| Refusal::not_run(RefusalCode::Unauthorized, message, RepeatAdvice::Never);
        let key = key.ok_or_else(|| {
            unauthorized("the request has no bearer key; send `authorization: Bearer <key>`")
        })?;
        let index = find_key(&self.key_hashes, key)
            .ok_or_else(|| unauthorized("the bearer key belongs to no workspace"))?;
        Ok(&self.key_owners[index])
    }

    /// Finds a model that a workspace may call.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalCode::UnknownModel`] or [`RefusalCode::Forbidden`].
    pub fn model(&self, workspace: &WorkspaceId, id: &ModelId) -> Result<&ModelConfig, Refusal> {
        let model = self.models.get(id).ok_or_else(|| {
            let message =
                format!("unknown model `{id}`; `GET /v1/models` lists the available ones");
            Refusal::not_run(RefusalCode::UnknownModel, message, RepeatAdvice::Never)
        })?;
        let models = self.workspace_models.get(workspace);
        if models.is_some_and(|models| models.contains(id)) {
            return Ok(model);
        }
        let message = format!("the workspace `{workspace}` may not call the model `{id}`");
        Err(Refusal::not_run(RefusalCode::Forbidden, message, RepeatAdvice::Never))
    }

    /// Returns the models that a workspace may call.
    pub fn models_of(&self, workspace: &WorkspaceId) -> Vec<&ModelId> {
        self.workspace_models.get(workspace).into_iter().flatten().collect()
    }

    /// Finds a service that a workspace may call, and the first route that matches the call.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalCode::UnknownService`], [`RefusalCode::Forbidden`] or [`RefusalCode::NotFound`].
    pub fn service(
        &self,
        workspace: &WorkspaceId,
        id: &ServiceId,
        method: &Method,
        path: &str,
    ) -> Result<(&ServiceConfig, &RouteConfig), Refusal> {
        let service = self.services.get(id).ok_or_else(|| {
            let message = format!("unknown service `{id}`");
            Refusal::not_run(RefusalCode::UnknownService, message, RepeatAdvice::Never)
        })?;
        let services = self.workspace_services.get(workspace);
        if !services.is_some_and(|services| services.contains(id)) {
            let message = format!("the workspace `{workspace}` may not call the service `{id}`");
            return Err(Refusal::not_run(RefusalCode::Forbidden, message, RepeatAdvice::Never));
        }
        let matches = |route: &&RouteConfig| {
            &*route.method == method.as_str() && path.starts_with(&*route.path_prefix)
        };
        let route = service.routes.iter().find(matches).ok_or_else(|| {
            let message = format!("the service `{id}` has no route for `{method} {path}`");
            Refusal::not_run(RefusalCode::NotFound, message, RepeatAdvice::Never)
        })?;
        Ok((service, route))
    }

    /// Returns true if the endpoint serves the target.
    pub fn serves(&self, endpoint: &EndpointId, target: &RouteTarget) -> bool {
        match (self.endpoints.get(endpoint).map(|endpoint| &endpoint.role), target) {
            (Some(EndpointRole::Engine { models, .. }), RouteTarget::Model(model)) => {
                models.contains(model)
            }
            (Some(EndpointRole::Service { service }), RouteTarget::Service(wanted)) => {
                service == wanted
            }
            _ => false,
        }
    }
}
