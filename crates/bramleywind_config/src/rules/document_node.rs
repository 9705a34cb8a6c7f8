use jsonc_parser::ast::{Array, Object, StringLit, Value};

use crate::json::{object_field, text_field};

/// The parsed document, with access to those of its parts that have the right types.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DocumentNode<'v, 'a> {
    pub(crate) root: &'v Object<'a>,
}

impl<'v, 'a> DocumentNode<'v, 'a> {
    /// The objects of a top-level list.
    pub(crate) fn objects(&self, list: &str) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        objects(self.root, list)
    }

    /// The ids of the objects of a top-level list.
    pub(crate) fn ids(&self, list: &str) -> impl Iterator<Item = &'v StringLit<'a>> + use<'v, 'a> {
        self.objects(list).filter_map(|object| text_field(object, "id"))
    }

    /// The model lists of all engine_roles.
    pub(crate) fn engine_roles(&self) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        self.roles("engine")
    }

    /// The service roles of all endpoints.
    pub(crate) fn service_roles(&self) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        self.roles("service")
    }

    fn roles(&self, kind: &'static str) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
        self.objects("endpoints").filter_map(move |endpoint| {
            let role = object_field(endpoint, "role")?.value.as_object()?;
            object_field(role, kind)?.value.as_object()
        })
    }
}

/// A list field of an object.
pub(crate) fn list<'v, 'a>(object: &'v Object<'a>, name: &str) -> Option<&'v Array<'a>> {
    object_field(object, name)?.value.as_array()
}

/// The objects in a list field of an object.
pub(crate) fn objects<'v, 'a>(
    object: &'v Object<'a>,
    name: &str,
) -> impl Iterator<Item = &'v Object<'a>> + use<'v, 'a> {
    list(object, name)
        .into_iter()
        .flat_map(|array| array.elements.iter())
        .filter_map(Value::as_object)
}

/// The strings in a list field of an object.
pub(crate) fn string_elements<'v, 'a>(
    object: &'v Object<'a>,
    name: &str,
) -> impl Iterator<Item = &'v StringLit<'a>> + use<'v, 'a> {
    list(object, name)
        .into_iter()
        .flat_map(|array| array.elements.iter())
        .filter_map(Value::as_string_lit)
}
