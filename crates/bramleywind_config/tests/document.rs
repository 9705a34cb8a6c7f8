//! Tests that the declared shape, the types, the schema and the documentation describe the same document.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{fs, path::Path};

use bramleywind_config::{ConfigDocument, check_document, config_schema};
use serde_json::Value;

fn read(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

/// Users start from the example in the documentation, so it must stay valid when the format changes.
#[test]
fn example_of_the_format_page_is_valid() {
    let page = read("../../docs/configuration-format.md");
    let example = page.split("```jsonc\n").nth(1).unwrap().split("```").next().unwrap();
    let document = check_document(example).unwrap_or_else(|errors| panic!("{errors}"));
    assert!(!document.workspaces.is_empty() && !document.endpoints.is_empty());
}

#[test]
fn schema_is_as_documented() {
    insta::with_settings!({ snapshot_path => "snapshots", prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!("schema", format!("{:#}", Value::from(config_schema())));
    });
}

/// Calls `visit` once for each field, with the name of the field and a copy of the document that lacks it.
fn visit_without_each_field(value: &Value, visit: &mut dyn FnMut(&str, Value)) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let mut shorter = fields.clone();
                shorter.remove(name);
                visit(name, Value::Object(shorter));
                visit_without_each_field(field, &mut |removed, field| {
                    let mut changed = fields.clone();
                    changed.insert(name.clone(), field);
                    visit(removed, Value::Object(changed));
                });
            }
        }
        Value::Array(elements) => {
            for (index, element) in elements.iter().enumerate() {
                visit_without_each_field(element, &mut |removed, element| {
                    let mut changed = elements.clone();
                    changed[index] = element;
                    visit(removed, Value::Array(changed));
                });
            }
        }
        _ => {}
    }
}

/// A field that is missing from the shape would be reported as unknown, and a field that only the types require
/// would pass the check and fail at the router.
#[test]
fn shape_and_types_require_the_same_fields() {
    let text = read("tests/rules/format_version_good.jsonc");
    let document: Value = serde_json::from_str(&text).unwrap();
    let mut count = 0;
    visit_without_each_field(&document, &mut |name, shorter| {
        count += 1;
        assert!(serde_json::from_value::<ConfigDocument>(shorter.clone()).is_err(), "{name}");
        let errors = check_document(&shorter.to_string()).unwrap_err();
        assert!(errors.0.iter().any(|error| error.rule == "missing_field"), "{name}: {errors}");
    });
    assert_eq!(
        count, 42,
        "the document must have the fields of all its objects, including two endpoints and two roles"
    );
}
