use jsonc_parser::ast::{Array, Object, StringLit, Value};

use crate::json::{object_field, text_field};

/// The parsed document. Its accessors skip values of the wrong type.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DocumentNode<'v, 'a> {
    pub(crate) root: &'v Object<'a>,
}

impl<'v, 'a> DocumentNode<'v, 'a> {
    /// Returns the objects in a top-level list.
    pub(crate) fn objects(&self, list: &str) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        objects(self.root, list)
    }

    /// Returns the ids of the objects in a top-level list.
    pub(crate) fn ids(&self, list: &str) -> impl Iterator<Item = &'v StringLit<'a>> + use<'v, 'a> {
        self.objects(list).filter_map(|object| text_field(object, "id"))
    }

    /// Returns the engine roles of all endpoints.
    pub(crate) fn engine_roles(&self) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        self.roles_of_kind("engine")
    }

    /// Returns the service roles of all endpoints.
    pub(crate) fn service_roles(&self) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        self.roles_of_kind("service")
    }

    fn roles_of_kind(
        &self,
        kind: &'static str,
    ) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        self.objects("endpoints").filter_map(move |endpoint| {
            let role = object_field(endpoint, "role")?.value.as_object()?;
            object_field(role, kind)?.value.as_object()
        })
    }
}

/// Returns a field of an object if it is a list.
pub(crate) fn list<'v, 'a>(object: &'v Object<'a>, name: &str) -> Option<&'v Array<'a>> {
    object_field(object, name)?.value.as_array()
}

/// Returns the objects in a list field of an object.
pub(crate) fn objects<'v, 'a>(
    object: &'v Object<'a>,
    name: &str,
) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
    list(object, name)
        .into_iter()
        .flat_map(|array| array.elements.iter())
        .filter_map(Value::as_object)
}

/// Returns the strings in a list field of an object.
pub(crate) fn string_elements<'v, 'a>(
    object: &'v Object<'a>,
    name: &str,
) -> impl Iterator<Item = &'v StringLit<'a>> + use<'v, 'a> {
    list(object, name)
        .into_iter()
        .flat_map(|array| array.elements.iter())
        .filter_map(Value::as_string_lit)
}
