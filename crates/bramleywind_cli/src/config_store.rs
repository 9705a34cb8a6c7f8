use bramleywind_config::{
    BudgetConfig, ConfigDocument, SignedConfig,
    json::{JsonSource, suggestion},
};
use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, VersionedValue};
use bramleywind_types::BudgetId;
use snafu::OptionExt;

use crate::{CommandError, command_error::NoConfigSnafu};

/// A configuration read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedConfig {
    /// The store's version of the value, for the next compare-and-swap.
    pub version: StoreVersion,
    /// The signed configuration. Its signature has not been verified.
    pub signed: SignedConfig,
}

impl AppliedConfig {
    /// Decodes the stored value of the configuration.
    pub(crate) fn from_value(value: &VersionedValue) -> Result<Self, CommandError> {
        let signed = SignedConfig::from_bytes(&value.value)
            .map_err(|error| stored_value_error(&StoreKey::config(), &error))?;
        Ok(Self { version: value.version, signed })
    }

    /// Parses the document. It is not checked again, so that a document accepted by an older version of the
    /// tool can still be compared and replaced.
    pub(crate) fn document(&self) -> Result<ConfigDocument, CommandError> {
        let source = JsonSource::new(&self.signed.document);
        source.deserialize().map_err(|error| stored_value_error(&StoreKey::config(), &error))
    }
}

/// Reads the configuration from the store, or returns `None` if there is none.
///
/// # Errors
///
/// Fails if the store does not answer, or if its value is not a signed configuration.
pub async fn read_config(store: &impl Store) -> Result<Option<AppliedConfig>, CommandError> {
    match store.read(&StoreKey::config()).await {
        ReadOutcome::Found(value) => AppliedConfig::from_value(&value).map(Some),
        ReadOutcome::Missing => Ok(None),
        ReadOutcome::Unavailable(reason) => Err(CommandError::StoreUnavailable { reason }),
    }
}

/// Reads the configuration in force, and fails with [`CommandError::NoConfig`] if there is none.
pub(crate) async fn require_config(store: &impl Store) -> Result<AppliedConfig, CommandError> {
    read_config(store).await?.context(NoConfigSnafu)
}

/// Finds a budget of the configuration, and otherwise suggests one with a similar name.
pub(crate) fn find_budget<'d>(
    document: &'d ConfigDocument,
    budget: &BudgetId,
) -> Result<&'d BudgetConfig, CommandError> {
    document.budgets.iter().find(|known| known.id == *budget).ok_or_else(|| {
        let known = document.budgets.iter().map(|known| known.id.as_str());
        let remedy = match suggestion(budget.as_str(), known) {
            Some(id) => format!("did you mean `{id}`?"),
            None => "add it to the configuration first".into(),
        };
        CommandError::UnknownBudget { budget: budget.clone(), remedy: remedy.into() }
    })
}

/// Builds the error for a stored value that could not be decoded.
pub(crate) fn stored_value_error(key: &StoreKey, error: &impl ToString) -> CommandError {
    CommandError::StoredValue { key: key.as_str().into(), reason: error.to_string().into() }
}
