use std::{fmt::Display, str::FromStr};

/// Parses names and other texts and collects the errors, so that all are reported together.
#[derive(Debug, Default)]
pub(crate) struct NameParser {
    object: Box<str>,
    pub(crate) errors: Vec<Box<str>>,
}

impl NameParser {
    /// Sets the object to which the following errors belong.
    pub(crate) fn set_object(&mut self, kind: &str, id: &str) {
        self.object = format!("{kind} `{id}`").into();
    }

    /// Adds an error about the current object.
    pub(crate) fn add_error(&mut self, error: impl Display) {
        self.errors.push(format!("{}: {error}", self.object).into());
    }

    /// Parses a text, or adds an error and returns `None`.
    pub(crate) fn parse<T>(&mut self, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.parse().map_err(|error: T::Err| self.add_error(error)).ok()
    }

    /// Parses several texts. Adds an error for each that is not valid and leaves it out.
    pub(crate) fn parse_all<T>(&mut self, texts: &[Box<str>]) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        texts.iter().filter_map(|text| self.parse(text)).collect()
    }
}
