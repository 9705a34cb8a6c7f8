use std::{fmt::Display, str::FromStr};

/// Checks the text of a string; the error names the value and the remedy.
pub type TextCheck = fn(&str) -> Result<(), Box<str>>;

/// What a JSON value must look like.
#[derive(Debug, Clone, Copy)]
pub enum JsonShape {
    /// A string that passes a check.
    Text(TextCheck),
    /// A whole number from 0 to the given maximum.
    Number {
        /// The largest value.
        max: u64,
    },
    /// `true` or `false`.
    Boolean,
    /// A list of values of one shape.
    List(&'static JsonShape),
    /// An object.
    Object(&'static ObjectShape),
}

/// An object's fields.
#[derive(Debug, Clone, Copy)]
pub struct ObjectShape {
    /// What the object is called in messages.
    pub name: &'static str,
    /// Its fields.
    pub fields: &'static [FieldShape],
    /// Whether exactly one of the fields must be given, whatever they say about being required.
    pub is_choice: bool,
}

/// One field of an object.
#[derive(Debug, Clone, Copy)]
pub struct FieldShape {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub shape: JsonShape,
    /// Whether it must be given.
    pub is_required: bool,
}

impl FieldShape {
    /// A field that must be given.
    pub const fn required(name: &'static str, shape: JsonShape) -> Self {
        Self { name, shape, is_required: true }
    }

    /// A field that has a default.
    pub const fn optional(name: &'static str, shape: JsonShape) -> Self {
        Self { name, shape, is_required: false }
    }
}

impl ObjectShape {
    /// The field with a name.
    pub fn field(&self, name: &str) -> Option<&'static FieldShape> {
        self.fields.iter().find(|field| field.name == name)
    }
}

/// A [`TextCheck`] for a type that is read with `FromStr`.
///
/// # Errors
///
/// The message of the type's own error.
pub fn parses_as<T>(text: &str) -> Result<(), Box<str>>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse::<T>().map(|_| ()).map_err(|error| error.to_string().into())
}
