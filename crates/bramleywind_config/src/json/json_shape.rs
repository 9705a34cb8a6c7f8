use std::{fmt::Display, str::FromStr};

/// Checks the text of a string. The error names the value and how to fix it.
pub type TextCheck = fn(&str) -> Result<(), Box<str>>;

/// The expected shape of a JSON value.
#[derive(Debug, Clone, Copy)]
pub enum JsonShape {
    /// A string that passes the given check.
    Text(TextCheck),
    /// An integer from 0 to the given maximum.
    Number {
        /// The largest allowed value.
        max: u64,
    },
    /// `true` or `false`.
    Boolean,
    /// A list whose elements all have the given shape.
    List(&'static JsonShape),
    /// An object with the given fields.
    Object(&'static ObjectShape),
}

/// The expected shape of an object.
#[derive(Debug, Clone, Copy)]
pub struct ObjectShape {
    /// The description of the object in messages, such as `a budget`.
    pub name: &'static str,
    /// The fields that the object may have.
    pub fields: &'static [FieldShape],
    /// Whether exactly one of the fields must be set, regardless of which fields are required.
    pub is_choice: bool,
}

/// A field of an object.
#[derive(Debug, Clone, Copy)]
pub struct FieldShape {
    /// The name of the field.
    pub name: &'static str,
    /// The expected shape of the value.
    pub shape: JsonShape,
    /// Whether the field must be set.
    pub is_required: bool,
}

impl FieldShape {
    /// Creates a field that must be set.
    pub const fn required(name: &'static str, shape: JsonShape) -> Self {
        Self { name, shape, is_required: true }
    }

    /// Creates a field that may be omitted.
    pub const fn optional(name: &'static str, shape: JsonShape) -> Self {
        Self { name, shape, is_required: false }
    }
}

impl ObjectShape {
    /// Returns the field with the given name.
    pub fn field(&self, name: &str) -> Option<&'static FieldShape> {
        self.fields.iter().find(|field| field.name == name)
    }
}

/// A [`TextCheck`] that accepts any text that parses as `T`.
///
/// # Errors
///
/// Returns the message of the parse error.
pub fn parses_as<T>(text: &str) -> Result<(), Box<str>>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse::<T>().map(|_| ()).map_err(|error| error.to_string().into())
}
