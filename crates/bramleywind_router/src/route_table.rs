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

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// Who calls, by the bearer key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The budget that pays.
    pub budget: BudgetId,
}

/// A configuration in force, arranged for lookups by requests.
#[derive(Debug)]
pub struct RouteTable {
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// What each budget was given by configuration.
    pub budgets: BTreeMap<BudgetId, TokenCount>,
    /// The endpoints.
    pub endpoints: BTreeMap<EndpointId, EndpointConfig>,
    key_hashes: Vec<KeyHash>,
    key_owners: Vec<KeyOwner>,
    workspace_models: BTreeMap<WorkspaceId, BTreeSet<ModelId>>,
    workspace_services: BTreeMap<WorkspaceId, BTreeSet<ServiceId>>,
    models: BTreeMap<ModelId, ModelConfig>,
    services: BTreeMap<ServiceId, ServiceConfig>,
}

impl RouteTable {
    /// Arranges a document that was checked.
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
    /// [`RefusalCode::Unauthorized`] if there is no key or nobody has it.
    pub fn authorize(&self, key: Option<&str>) -> Result<&KeyOwner, Refusal> {
        let unauthorized =
            |message| Refusal::not_run(RefusalCode::Unauthorized, message, RepeatAdvice::Never);
        let key = key.ok_or_else(|| {
            unauthorized("there is no bearer key; send `authorization: Bearer <key>`")
        })?;
        let index = find_key(&self.key_hashes, key)
            .ok_or_else(|| unauthorized("no workspace has this bearer key"))?;
        Ok(&self.key_owners[index])
    }

    /// Finds a model that a workspace may call.
    ///
    /// # Errors
    ///
    /// [`RefusalCode::UnknownModel`] or [`RefusalCode::Forbidden`].
    pub fn model(&self, workspace: &WorkspaceId, id: &ModelId) -> Result<&ModelConfig, Refusal> {
        let model = self.models.get(id).ok_or_else(|| {
            let message = format!("there is no model `{id}`; `GET /v1/models` lists them");
            Refusal::not_run(RefusalCode::UnknownModel, message, RepeatAdvice::Never)
        })?;
        let models = self.workspace_models.get(workspace);
        if models.is_some_and(|models| models.contains(id)) {
            return Ok(model);
        }
        let message = format!("the workspace `{workspace}` may not call the model `{id}`");
        Err(Refusal::not_run(RefusalCode::Forbidden, message, RepeatAdvice::Never))
    }

    /// The models that a workspace may call.
    pub fn models_of(&self, workspace: &WorkspaceId) -> Vec<&ModelId> {
        self.workspace_models.get(workspace).into_iter().flatten().collect()
    }

    /// Finds a service that a workspace may call, and the route that the call matches.
    ///
    /// # Errors
    ///
    /// [`RefusalCode::UnknownService`], [`RefusalCode::Forbidden`] or [`RefusalCode::NotFound`].
    pub fn service(
        &self,
        workspace: &WorkspaceId,
        id: &ServiceId,
        method: &Method,
        path: &str,
    ) -> Result<(&ServiceConfig, &RouteConfig), Refusal> {
        let service = self.services.get(id).ok_or_else(|| {
            let message = format!("there is no service `{id}`");
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
            let message = format!("the service `{id}` accepts no `{method}` of `{path}`");
            Refusal::not_run(RefusalCode::NotFound, message, RepeatAdvice::Never)
        })?;
        Ok((service, route))
    }

    /// Whether an endpoint serves a target.
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
