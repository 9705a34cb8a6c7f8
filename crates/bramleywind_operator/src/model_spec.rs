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
    /// Creates a model. `max_request_tokens` limits the tokens of a request, prompt and answer together.
    pub fn new(id: &str, max_request_tokens: u32) -> Self {
        Self { id: id.into(), max_request_tokens, idempotent: true }
    }

    /// Forbids repeating a request after a failure.
    #[must_use]
    pub fn non_idempotent(mut self) -> Self {
        self.idempotent = false;
        self
    }

    /// Converts the specification to its part of the document, or returns `None` if its id is malformed.
    pub(crate) fn assemble(&self, parser: &mut NameParser) -> Option<ModelConfig> {
        parser.set_object("model", &self.id);
        Some(ModelConfig {
            id: parser.parse(&self.id)?,
            idempotent: self.idempotent,
            max_request_tokens: self.max_request_tokens,
        })
    }
}
