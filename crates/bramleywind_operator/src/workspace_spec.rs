use bramleywind_config::{BudgetConfig, KeyConfig, KeyHash, WorkspaceConfig};
use bramleywind_types::{TokenCount, WorkspaceId};

use crate::name_parser::NameParser;

/// A workspace, that is a customer, with its budgets, its bearer keys and the models and services it may use.
#[derive(Debug, Clone)]
pub struct WorkspaceSpec {
    id: Box<str>,
    budgets: Vec<(Box<str>, u64)>,
    keys: Vec<KeySpec>,
    models: Vec<Box<str>>,
    services: Vec<Box<str>>,
}

/// The hash of a bearer key and the budget that pays for its requests.
#[derive(Debug, Clone)]
struct KeySpec {
    hash: Box<str>,
    budget: Box<str>,
}

impl WorkspaceSpec {
    /// Creates a workspace without budgets, keys, models or services.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            budgets: Vec::new(),
            keys: Vec::new(),
            models: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Adds a budget and the tokens that were prepaid for it.
    #[must_use]
    pub fn budget(mut self, id: &str, prepaid_tokens: u64) -> Self {
        self.budgets.push((id.into(), prepaid_tokens));
        self
    }

    /// Adds a bearer key, given as text, and the budget that pays for its requests. Only the hash is printed.
    #[must_use]
    pub fn key(self, text: &str, budget: &str) -> Self {
        let hash = KeyHash::of(text).to_string();
        self.key_hash(&hash, budget)
    }

    /// Adds a bearer key, given as the hash that `bramleywind key hash` prints, and the budget that pays for its
    /// requests.
    #[must_use]
    pub fn key_hash(mut self, hash: &str, budget: &str) -> Self {
        self.keys.push(KeySpec { hash: hash.into(), budget: budget.into() });
        self
    }

    /// Allows the workspace to use a model.
    #[must_use]
    pub fn may_use_model(mut self, model: &str) -> Self {
        self.models.push(model.into());
        self
    }

    /// Allows the workspace to use a service.
    #[must_use]
    pub fn may_use_service(mut self, service: &str) -> Self {
        self.services.push(service.into());
        self
    }

    /// Converts the workspace to its part of the document, or returns `None` if its id is malformed.
    pub(crate) fn assemble(&self, parser: &mut NameParser) -> Option<WorkspaceConfig> {
        parser.set_object("workspace", &self.id);
        let mut keys = Vec::new();
        for key in &self.keys {
            let (hash, budget): (Option<KeyHash>, _) =
                (parser.parse(&key.hash), parser.parse(&key.budget));
            keys.extend(hash.zip(budget).map(|(hash, budget)| KeyConfig { hash, budget }));
        }
        let models = parser.parse_all(&self.models);
        let services = parser.parse_all(&self.services);
        Some(WorkspaceConfig { id: parser.parse(&self.id)?, keys, models, services })
    }

    /// Converts the budgets of the workspace to their part of the document.
    pub(crate) fn assemble_budgets(&self, parser: &mut NameParser) -> Vec<BudgetConfig> {
        parser.set_object("workspace", &self.id);
        // A malformed workspace id is reported only once, by `assemble`.
        let workspace: Option<WorkspaceId> = self.id.parse().ok();
        let budgets = self.budgets.iter();
        budgets
            .filter_map(|(id, prepaid_tokens)| {
                Some(BudgetConfig {
                    id: parser.parse(id)?,
                    workspace: workspace.clone()?,
                    prepaid_tokens: TokenCount(*prepaid_tokens),
                })
            })
            .collect()
    }
}
