use bramleywind_config::ModelConfig;

use crate::name_parser::NameParser;

/// A model that engines serve.
#[derive(Debug, Clone)]
pub struct ModelSpec {
    id: Box<str>,
    max_request_tokens: u32,
    idempotent: bool,
}

impl ModelSpec {
    /// A model, with the most tokens that a request may ask for, prompt and answer together.
    pub fn new(id: &str, max_request_tokens: u32) -> Self {
        Self { id: id.into(), max_request_tokens, idempotent: true }
    }

    /// Says that a request must not be run again after a failure.
    #[must_use]
    pub fn non_idempotent(mut self) -> Self {
        self.idempotent = false;
        self
    }

    pub(crate) fn assemble(&self, names: &mut NameParser) -> Option<ModelConfig> {
        names.enter("model", &self.id);
        Some(ModelConfig {
            id: names.parse(&self.id)?,
            idempotent: self.idempotent,
            max_request_tokens: self.max_request_tokens,
        })
    }
}
