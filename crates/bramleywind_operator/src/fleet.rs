use std::io::{self, Write};

use bramleywind_config::{ConfigDocument, FORMAT_VERSION, check_document};
use snafu::ResultExt;

use crate::{
    EndpointSpec, FleetError, ModelSpec, ServiceSpec, WorkspaceSpec,
    fleet_error::{NotWritableSnafu, OutputSnafu},
    name_parser::NameParser,
};

/// A builder of the configuration document: workspaces, models, services and endpoints.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    workspaces: Vec<WorkspaceSpec>,
    models: Vec<ModelSpec>,
    services: Vec<ServiceSpec>,
    endpoints: Vec<EndpointSpec>,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a workspace with its budgets and keys.
    #[must_use]
    pub fn workspace(mut self, workspace: WorkspaceSpec) -> Self {
        self.workspaces.push(workspace);
        self
    }

    /// Adds several workspaces.
    #[must_use]
    pub fn workspaces(mut self, workspaces: impl IntoIterator<Item = WorkspaceSpec>) -> Self {
        self.workspaces.extend(workspaces);
        self
    }

    /// Adds a model.
    #[must_use]
    pub fn model(mut self, model: ModelSpec) -> Self {
        self.models.push(model);
        self
    }

    /// Adds a service that is not a model.
    #[must_use]
    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// Adds an endpoint.
    #[must_use]
    pub fn endpoint(mut self, endpoint: EndpointSpec) -> Self {
        self.endpoints.push(endpoint);
        self
    }

    /// Adds several endpoints.
    #[must_use]
    pub fn endpoints(mut self, endpoints: impl IntoIterator<Item = EndpointSpec>) -> Self {
        self.endpoints.extend(endpoints);
        self
    }

    /// Builds and checks the document.
    ///
    /// # Errors
    ///
    /// Returns all bad names as [`FleetError::BadNames`] or, if there are none, all broken rules as
    /// [`FleetError::Invalid`].
    pub fn build(&self) -> Result<ConfigDocument, FleetError> {
        let document = self.assemble()?;
        check_document(&to_json(&document)?)
            .map_err(|diagnostics| FleetError::Invalid { diagnostics })
    }

    /// Builds and checks the document and returns it as JSON text.
    ///
    /// # Errors
    ///
    /// Fails as [`Fleet::build`] does.
    pub fn to_json(&self) -> Result<Box<str>, FleetError> {
        to_json(&self.build()?)
    }

    /// Prints the document to the standard output. Prints nothing if it is not valid.
    ///
    /// # Errors
    ///
    /// Fails as [`Fleet::build`] does, or with [`FleetError::Output`].
    pub fn print(&self) -> Result<(), FleetError> {
        let text = self.to_json()?;
        let mut output = io::stdout().lock();
        output.write_all(text.as_bytes()).and_then(|()| output.flush()).context(OutputSnafu)
    }

    /// Converts the fleet to a document without checking its rules.
    fn assemble(&self) -> Result<ConfigDocument, FleetError> {
        let mut parser = NameParser::default();
        let document = ConfigDocument {
            format: FORMAT_VERSION,
            workspaces: self.workspaces.iter().filter_map(|w| w.assemble(&mut parser)).collect(),
            budgets: self
                .workspaces
                .iter()
                .flat_map(|workspace| workspace.assemble_budgets(&mut parser))
                .collect(),
            models: self.models.iter().filter_map(|m| m.assemble(&mut parser)).collect(),
            services: self.services.iter().filter_map(|s| s.assemble(&mut parser)).collect(),
            endpoints: self.endpoints.iter().filter_map(|e| e.assemble(&mut parser)).collect(),
        };
        if parser.errors.is_empty() {
            return Ok(document);
        }
        Err(FleetError::BadNames { errors: parser.errors })
    }
}

fn to_json(document: &ConfigDocument) -> Result<Box<str>, FleetError> {
    let mut text = serde_json::to_string_pretty(document).context(NotWritableSnafu)?;
    text.push('\n');
    Ok(text.into())
}
