//! The validation rules of textual identifiers, and the macro that defines them.

use crate::NameError;

/// The longest identifier, in bytes. The limit is small because identifiers become store keys and metric labels.
pub const MAX_ID_BYTES: usize = 63;

const ALLOWED: &str =
    "use lower-case letters, digits, `-`, `_` and `.`, and begin with a letter or digit";

pub(crate) fn validate_id(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if text.len() > MAX_ID_BYTES {
        let value = text.chars().take(MAX_ID_BYTES).collect::<String>().into();
        return Err(NameError::TooLong { kind, value, length: text.len(), limit: MAX_ID_BYTES });
    }
    let is_allowed = |(index, character): &(usize, char)| match character {
        'a'..='z' | '0'..='9' => true,
        '-' | '_' | '.' => *index > 0,
        _ => false,
    };
    match text.char_indices().find(|found| !is_allowed(found)) {
        None => Ok(()),
        Some((_, character)) => {
            Err(NameError::BadCharacter { kind, value: text.into(), character, allowed: ALLOWED })
        }
    }
}

/// Defines a textual identifier with `Display`, `FromStr`, checked deserialization and a JSON schema.
macro_rules! text_id {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
            schemars::JsonSchema,
        )]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        #[schemars(with = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                crate::text_id::validate_id(stringify!($name), text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = crate::NameError;

            fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
                crate::text_id::validate_id(stringify!($name), &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

pub(crate) use text_id;
