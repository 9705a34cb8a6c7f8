use std::{fmt::Display, str::FromStr};

/// Parses texts and collects what is wrong with them, so that all errors are reported together.
#[derive(Debug, Default)]
pub(crate) struct NameParser {
    object: Box<str>,
    pub(crate) errors: Vec<Box<str>>,
}

impl NameParser {
    /// Names the object that the next errors belong to.
    pub(crate) fn enter(&mut self, kind: &str, id: &str) {
        self.object = format!("{kind} `{id}`").into();
    }

    /// Adds an error of the object that was entered.
    pub(crate) fn add(&mut self, error: impl Display) {
        self.errors.push(format!("{}: {error}", self.object).into());
    }

    /// The parsed text, or nothing and one more error.
    pub(crate) fn parse<T>(&mut self, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.parse().map_err(|error: T::Err| self.add(error)).ok()
    }

    /// All parsed texts; those in error are left out.
    pub(crate) fn parse_all<T>(&mut self, texts: &[Box<str>]) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        texts.iter().filter_map(|text| self.parse(text)).collect()
    }
}
