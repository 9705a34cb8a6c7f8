use std::fmt;

use serde::Serialize;

/// One change between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ConfigChange {
    /// The object is new.
    Added {
        /// The object.
        object: ConfigObject,
    },
    /// The object is gone.
    Removed {
        /// The object.
        object: ConfigObject,
    },
    /// A field has another value.
    Changed {
        /// The object.
        object: ConfigObject,
        /// The field.
        field: Box<str>,
        /// The old value; JSON, or the bare text of a string.
        before: Box<str>,
        /// The new value; JSON, or the bare text of a string.
        after: Box<str>,
    },
    /// A list has one more element.
    ElementAdded {
        /// The object.
        object: ConfigObject,
        /// The list.
        field: Box<str>,
        /// The element; JSON, or the bare text of a string.
        element: Box<str>,
    },
    /// A list has one element less.
    ElementRemoved {
        /// The object.
        object: ConfigObject,
        /// The list.
        field: Box<str>,
        /// The element; JSON, or the bare text of a string.
        element: Box<str>,
    },
}

/// Names an object of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConfigObject {
    /// What it is.
    pub kind: ObjectKind,
    /// Its id.
    pub id: Box<str>,
}

/// The kinds of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A customer.
    Workspace,
    /// A prepaid budget.
    Budget,
    /// A model.
    Model,
    /// A plain service.
    Service,
    /// A back end.
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
