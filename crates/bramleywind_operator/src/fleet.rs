use std::io::{self, Write};

use bramleywind_config::{ConfigDocument, FORMAT_VERSION, check_document};
use snafu::ResultExt;

use crate::{
    EndpointSpec, FleetError, ModelSpec, ServiceSpec, WorkspaceSpec,
    fleet_error::{NotWritableSnafu, OutputSnafu},
    name_parser::NameParser,
};

/// Everything that operators decide, under construction.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    workspaces: Vec<WorkspaceSpec>,
    models: Vec<ModelSpec>,
    services: Vec<ServiceSpec>,
    endpoints: Vec<EndpointSpec>,
}

impl Fleet {
    /// A fleet with nothing in it.
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

    /// Adds a plain service.
    #[must_use]
    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a back end.
    #[must_use]
    pub fn endpoint(mut self, endpoint: EndpointSpec) -> Self {
        self.endpoints.push(endpoint);
        self
    }

    /// Adds several back ends.
    #[must_use]
    pub fn endpoints(mut self, endpoints: impl IntoIterator<Item = EndpointSpec>) -> Self {
        self.endpoints.extend(endpoints);
        self
    }

    /// The checked document.
    ///
    /// # Errors
    ///
    /// [`FleetError`] with every error of its kind.
    pub fn build(&self) -> Result<ConfigDocument, FleetError> {
        let document = self.assemble()?;
        check_document(&to_json(&document)?)
            .map_err(|diagnostics| FleetError::Invalid { diagnostics })
    }

    /// The checked document as JSON text.
    ///
    /// # Errors
    ///
    /// As [`Fleet::build`].
    pub fn to_json(&self) -> Result<Box<str>, FleetError> {
        to_json(&self.build()?)
    }

    /// Prints the document to the standard output, and nothing if it is not valid.
    ///
    /// # Errors
    ///
    /// As [`Fleet::build`], or [`FleetError::Output`].
    pub fn print(&self) -> Result<(), FleetError> {
        let text = self.to_json()?;
        let mut output = io::stdout().lock();
        output.write_all(text.as_bytes()).and_then(|()| output.flush()).context(OutputSnafu)
    }

    fn assemble(&self) -> Result<ConfigDocument, FleetError> {
        let mut names = NameParser::default();
        let document = ConfigDocument {
            format: FORMAT_VERSION,
            workspaces: self.workspaces.iter().filter_map(|w| w.assemble(&mut names)).collect(),
            budgets: self
                .workspaces
                .iter()
                .flat_map(|workspace| workspace.assemble_budgets(&mut names))
                .collect(),
            models: self.models.iter().filter_map(|m| m.assemble(&mut names)).collect(),
            services: self.services.iter().filter_map(|s| s.assemble(&mut names)).collect(),
            endpoints: self.endpoints.iter().filter_map(|e| e.assemble(&mut names)).collect(),
        };
        if names.errors.is_empty() {
            return Ok(document);
        }
        Err(FleetError::BadNames { errors: names.errors })
    }
}

fn to_json(document: &ConfigDocument) -> Result<Box<str>, FleetError> {
    let mut text = serde_json::to_string_pretty(document).context(NotWritableSnafu)?;
    text.push('\n');
    Ok(text.into())
}
