use std::fmt;

use serde::Serialize;

/// A single change between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ConfigChange {
    /// An object was added.
    Added {
        /// The added object.
        object: ConfigObject,
    },
    /// An object was removed.
    Removed {
        /// The removed object.
        object: ConfigObject,
    },
    /// The value of a field changed.
    Changed {
        /// The object that has the field.
        object: ConfigObject,
        /// The name of the field.
        field: Box<str>,
        /// The old value, as JSON; a string is given without quotes.
        before: Box<str>,
        /// The new value, as JSON; a string is given without quotes.
        after: Box<str>,
    },
    /// An element was added to a list.
    ElementAdded {
        /// The object that has the list.
        object: ConfigObject,
        /// The name of the list field.
        field: Box<str>,
        /// The added element, as JSON; a string is given without quotes.
        element: Box<str>,
    },
    /// An element was removed from a list.
    ElementRemoved {
        /// The object that has the list.
        object: ConfigObject,
        /// The name of the list field.
        field: Box<str>,
        /// The removed element, as JSON; a string is given without quotes.
        element: Box<str>,
    },
}

/// Identifies an object in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConfigObject {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The id of the object, unique within its kind.
    pub id: Box<str>,
}

/// The kinds of objects in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A customer.
    Workspace,
    /// A prepaid budget.
    Budget,
    /// A model.
    Model,
    /// A service other than a model engine.
    Service,
    /// A back end that runs a model engine or a service.
    Endpoint,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Workspace => "workspace",
            Self::Budget => "budget",
            Self::Model => "model",
            Self::Service => "service",
            Self::Endpoint => "endpoint",
        })
    }
}

impl fmt::Display for ConfigObject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.kind, self.id)
    }
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { object } => write!(f, "+ {object}"),
            Self::Removed { object } => write!(f, "- {object}"),
            Self::Changed { object, field, before, after } => {
                write!(f, "~ {object}: {field} `{before}` -> `{after}`")
            }
            Self::ElementAdded { object, field, element } => {
                write!(f, "~ {object}: {field} + `{element}`")
            }
            Self::ElementRemoved { object, field, element } => {
                write!(f, "~ {object}: {field} - `{element}`")
            }
        }
    }
}
