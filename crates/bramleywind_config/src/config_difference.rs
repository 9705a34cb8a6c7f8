use std::{collections::HashMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{ConfigChange, ConfigDocument, ConfigObject, ObjectKind};

/// What changes from one document to another, object by object.
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
    /// The changes, by kind of object and then in the documents' order.
    pub changes: Vec<ConfigChange>,
}

impl ConfigDifference {
    /// The changes that lead from `before` to `after`. The order of objects does not matter.
    pub fn between(before: &ConfigDocument, after: &ConfigDocument) -> Self {
        let mut difference = Self::default();
        difference.compare(ObjectKind::Workspace, &before.workspaces, &after.workspaces);
        difference.compare(ObjectKind::Budget, &before.budgets, &after.budgets);
        difference.compare(ObjectKind::Model, &before.models, &after.models);
        difference.compare(ObjectKind::Service, &before.services, &after.services);
        difference.compare(ObjectKind::Endpoint, &before.endpoints, &after.endpoints);
        difference
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    fn compare<T: Serialize>(&mut self, kind: ObjectKind, before: &[T], after: &[T]) {
        let (before, after) = (fields(before), fields(after));
        // Documents have many thousands of budgets, so the objects are looked up by id.
        let (old_objects, new_objects) = (by_id(&before), by_id(&after));
        for old in before.iter().filter(|old| !new_objects.contains_key(&id(old))) {
            self.changes.push(ConfigChange::Removed { object: name(kind, old) });
        }
        for new in &after {
            match old_objects.get(&id(new)) {
                None => self.changes.push(ConfigChange::Added { object: name(kind, new) }),
                Some(old) => self.compare_fields(&name(kind, new), old, new),
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
                    before: text(old),
                    after: text(new),
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
            element: text(element),
        }));
        let added = after.iter().filter(|element| !before.contains(element));
        self.changes.extend(added.map(|element| ConfigChange::ElementAdded {
            object: object.clone(),
            field: field.into(),
            element: text(element),
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

/// Whether two lists hold the same elements in another order, which matters for routes.
fn is_reordered(before: &[Value], after: &[Value]) -> bool {
    before.len() == after.len() && before.iter().all(|element| after.contains(element))
}

/// The objects as JSON, so that a field added to a type takes part in the comparison by itself.
fn fields<T: Serialize>(objects: &[T]) -> Vec<Map<String, Value>> {
    objects
        .iter()
        .filter_map(|object| match serde_json::to_value(object) {
            Ok(Value::Object(fields)) => Some(fields),
            _ => None,
        })
        .collect()
}

fn id(object: &Map<String, Value>) -> Box<str> {
    object.get("id").map(text).unwrap_or_default()
}

fn by_id(objects: &[Map<String, Value>]) -> HashMap<Box<str>, &Map<String, Value>> {
    objects.iter().map(|object| (id(object), object)).collect()
}

fn name(kind: ObjectKind, object: &Map<String, Value>) -> ConfigObject {
    ConfigObject { kind, id: id(object) }
}

/// Strings without quotes, everything else as compact JSON.
fn text(value: &Value) -> Box<str> {
    match value {
        Value::String(text) => text.as_str().into(),
        other => other.to_string().into(),
    }
}
