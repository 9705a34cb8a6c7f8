//! The macro that defines numeric newtypes.

/// Defines a newtype over `u64` with `Display`, `FromStr` and a JSON schema.
macro_rules! number_type {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize, schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let not_number = |_| crate::NameError::NotNumber {
                    kind: stringify!($name),
                    value: text.into(),
                };
                text.parse().map(Self).map_err(not_number)
            }
        }
    };
}

pub(crate) use number_type;
