use bramleywind_config::{BudgetConfig, KeyConfig, KeyHash, WorkspaceConfig};
use bramleywind_types::{TokenCount, WorkspaceId};

use crate::name_parser::NameParser;

/// A customer with its budgets, its keys and what it may reach.
#[derive(Debug, Clone)]
pub struct WorkspaceSpec {
    id: Box<str>,
    budgets: Vec<(Box<str>, u64)>,
    keys: Vec<KeySpec>,
    models: Vec<Box<str>>,
    services: Vec<Box<str>>,
}

#[derive(Debug, Clone)]
struct KeySpec {
    hash: Box<str>,
    budget: Box<str>,
}

impl WorkspaceSpec {
    /// A workspace that has and reaches nothing yet.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            budgets: Vec::new(),
            keys: Vec::new(),
            models: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Adds a budget with what was paid in, in tokens.
    #[must_use]
    pub fn budget(mut self, id: &str, prepaid_tokens: u64) -> Self {
        self.budgets.push((id.into(), prepaid_tokens));
        self
    }

    /// Adds a bearer key given as text, and the budget that pays for it. Only the key's hash is printed.
    #[must_use]
    pub fn key(self, text: &str, budget: &str) -> Self {
        let hash = KeyHash::of(text).to_string();
        self.key_hash(&hash, budget)
    }

    /// Adds a bearer key by the hash that `bramleywind key hash` prints, and the budget that pays for it.
    #[must_use]
    pub fn key_hash(mut self, hash: &str, budget: &str) -> Self {
        self.keys.push(KeySpec { hash: hash.into(), budget: budget.into() });
        self
    }

    /// Lets the workspace call a model.
    #[must_use]
    pub fn may_use_model(mut self, model: &str) -> Self {
        self.models.push(model.into());
        self
    }

    /// Lets the workspace call a service.
    #[must_use]
    pub fn may_use_service(mut self, service: &str) -> Self {
        self.services.push(service.into());
        self
    }

    pub(crate) fn assemble(&self, names: &mut NameParser) -> Option<WorkspaceConfig> {
        names.enter("workspace", &self.id);
        let mut keys = Vec::new();
        for key in &self.keys {
            let (hash, budget): (Option<KeyHash>, _) =
                (names.parse(&key.hash), names.parse(&key.budget));
            keys.extend(hash.zip(budget).map(|(hash, budget)| KeyConfig { hash, budget }));
        }
        let models = names.parse_all(&self.models);
        let services = names.parse_all(&self.services);
        Some(WorkspaceConfig { id: names.parse(&self.id)?, keys, models, services })
    }

    pub(crate) fn assemble_budgets(&self, names: &mut NameParser) -> Vec<BudgetConfig> {
        names.enter("workspace", &self.id);
        // The workspace's own name is reported once, with the workspace.
        let workspace: Option<WorkspaceId> = self.id.parse().ok();
        let budgets = self.budgets.iter();
        budgets
            .filter_map(|(id, prepaid_tokens)| {
                Some(BudgetConfig {
                    id: names.parse(id)?,
                    workspace: workspace.clone()?,
                    prepaid_tokens: TokenCount(*prepaid_tokens),
                })
            })
            .collect()
    }
}
