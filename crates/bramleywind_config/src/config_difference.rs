use std::{collections::HashMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{ConfigChange, ConfigDocument, ConfigObject, ObjectKind};

/// The changes from one document to another, object by object.
///
/// ```
/// use bramleywind_config::{ConfigDifference, check_document};
///
/// let empty = r#"{ "format": 1, "workspaces": [], "budgets": [], "models": [], "services": [],
///   "endpoints": [] }"#;
/// let one_model = empty.replace(
///     r#""models": []"#,
///     r#""models": [{ "id": "weave", "idempotent": true, "max_request_tokens": 4096 }]"#,
/// );
/// let before = check_document(empty).unwrap();
/// let after = check_document(&one_model).unwrap();
/// assert_eq!(ConfigDifference::between(&before, &after).to_string(), "+ model `weave`");
/// assert!(ConfigDifference::between(&after, &after).is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ConfigDifference {
    /// The changes, grouped by kind of object. Within a kind, removed objects come first, and the rest follow the
    /// order of the new document.
    pub changes: Vec<ConfigChange>,
}

impl ConfigDifference {
    /// Returns the changes that turn `before` into `after`. The order of objects is ignored.
    pub fn between(before: &ConfigDocument, after: &ConfigDocument) -> Self {
        let mut difference = Self::default();
        difference.compare(ObjectKind::Workspace, &before.workspaces, &after.workspaces);
        difference.compare(ObjectKind::Budget, &before.budgets, &after.budgets);
        difference.compare(ObjectKind::Model, &before.models, &after.models);
        difference.compare(ObjectKind::Service, &before.services, &after.services);
        difference.compare(ObjectKind::Endpoint, &before.endpoints, &after.endpoints);
        difference
    }

    /// Returns whether the two documents are equivalent.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    fn compare<T: Serialize>(&mut self, kind: ObjectKind, before: &[T], after: &[T]) {
        let (before, after) = (to_field_maps(before), to_field_maps(after));
        // Objects are looked up by id because a document can have many thousands of budgets.
        let (old_objects, new_objects) = (index_by_id(&before), index_by_id(&after));
        for old in before.iter().filter(|old| !new_objects.contains_key(&object_id(old))) {
            self.changes.push(ConfigChange::Removed { object: config_object(kind, old) });
        }
        for new in &after {
            match old_objects.get(&object_id(new)) {
                None => self.changes.push(ConfigChange::Added { object: config_object(kind, new) }),
                Some(old) => self.compare_fields(&config_object(kind, new), old, new),
            }
        }
    }

    fn compare_fields(
        &mut self,
        object: &ConfigObject,
        before: &Map<String, Value>,
        after: &Map<String, Value>,
    ) {
        for (field, new) in after {
            let old = before.get(field).unwrap_or(&Value::Null);
            match (old, new) {
                _ if old == new => {}
                (Value::Array(old), Value::Array(new)) if !is_reordered(old, new) => {
                    self.compare_elements(object, field, old, new);
                }
                _ => self.changes.push(ConfigChange::Changed {
                    object: object.clone(),
                    field: field.as_str().into(),
                    before: format_value(old),
                    after: format_value(new),
                }),
            }
        }
    }

    fn compare_elements(
        &mut self,
        object: &ConfigObject,
        field: &str,
        before: &[Value],
        after: &[Value],
    ) {
        let removed = before.iter().filter(|element| !after.contains(element));
        self.changes.extend(removed.map(|element| ConfigChange::ElementRemoved {
            object: object.clone(),
            field: field.into(),
            element: format_value(element),
        }));
        let added = after.iter().filter(|element| !before.contains(element));
        self.changes.extend(added.map(|element| ConfigChange::ElementAdded {
            object: object.clone(),
            field: field.into(),
            element: format_value(element),
        }));
    }
}

impl fmt::Display for ConfigDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, change) in self.changes.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            change.fmt(f)?;
        }
        Ok(())
    }
}

/// Returns whether two different lists hold the same elements in another order. The order of routes is significant.
fn is_reordered(before: &[Value], after: &[Value]) -> bool {
    before.len() == after.len() && before.iter().all(|element| after.contains(element))
}

/// Converts objects to JSON maps, so that a new field of a type is compared without a change here.
fn to_field_maps<T: Serialize>(objects: &[T]) -> Vec<Map<String, Value>> {
    objects
        .iter()
        .filter_map(|object| match serde_json::to_value(object) {
            Ok(Value::Object(fields)) => Some(fields),
            _ => None,
        })
        .collect()
}

fn object_id(object: &Map<String, Value>) -> Box<str> {
    object.get("id").map(format_value).unwrap_or_default()
}

fn index_by_id(objects: &[Map<String, Value>]) -> HashMap<Box<str>, &Map<String, Value>> {
    objects.iter().map(|object| (object_id(object), object)).collect()
}

fn config_object(kind: ObjectKind, object: &Map<String, Value>) -> ConfigObject {
    ConfigObject { kind, id: object_id(object) }
}

/// Formats a string without quotes and any other value as compact JSON.
fn format_value(value: &Value) -> Box<str> {
    match value {
        Value::String(text) => text.as_str().into(),
        other => other.to_string().into(),
    }
}
