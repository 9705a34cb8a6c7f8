//! Reports a secret that cannot be read from the location in the file, or that is short enough to be guessed.

use bramleywind_config::json::{Report, object_field, text_field};
use jsonc_parser::ast::Object;

use crate::{Secret, SecretLocation, SecretSource};

/// The minimum length of a secret. 16 random characters from an alphabet of 64 have 96 bits of entropy.
const MIN_SECRET_BYTES: usize = 16;

/// Reads a secret, and reports a failure at the position of its location in the file.
pub(crate) fn read_secret(
    root: &Object<'_>,
    name: &str,
    secrets: &impl SecretSource,
    report: &mut Report<'_>,
) -> Option<Secret> {
    let object = object_field(root, name)?.value.as_object()?;
    // The shape rules report a location that is missing, ambiguous or empty.
    let (location, text) = match (text_field(object, "file"), text_field(object, "environment")) {
        (Some(file), None) => {
            (SecretLocation::File(std::path::Path::new(file.value.as_ref()).into()), file)
        }
        (None, Some(variable)) => {
            (SecretLocation::Environment(variable.value.as_ref().into()), variable)
        }
        _ => return None,
    };
    if text.value.is_empty() {
        return None;
    }
    match secrets.read(&location) {
        Ok(secret) if secret.expose().len() >= MIN_SECRET_BYTES => Some(secret),
        Ok(secret) => {
            let message = format!(
                "the secret at `{}` is {} bytes long; use at least {MIN_SECRET_BYTES} random characters",
                text.value,
                secret.expose().len()
            );
            report.add("secret", text.range, message);
            None
        }
        Err(error) => {
            report.add("secret", text.range, error.to_string());
            None
        }
    }
}
