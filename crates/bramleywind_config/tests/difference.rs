//! Tests that a difference lists every change and nothing else. An operator whose update conflicts with another one
//! relies on it to see what changed in the meantime.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{fs, path::Path};

use bramleywind_config::{ConfigDifference, ConfigDocument, check_document};
use test_case::test_case;

fn base() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/rules/shadowed_route_good.jsonc");
    fs::read_to_string(path).unwrap()
}

fn document(text: &str) -> ConfigDocument {
    check_document(text).unwrap_or_else(|errors| panic!("{errors}"))
}

#[test_case("250000", "300000" => "~ budget `spring-season`: prepaid_tokens `250000` -> `300000`" ; "number")]
#[test_case("192.0.2.11:8080", "192.0.2.12:8080" => "~ endpoint `engine-1`: address `192.0.2.11:8080` -> `192.0.2.12:8080`" ; "text")]
#[test_case(r#""id": "desk-1""#, r#""id": "desk-2""# => "- endpoint `desk-1`\n+ endpoint `desk-2`" ; "renamed object")]
#[test_case(r#""models": ["weave-small"],"#, r#""models": [],"# => "~ workspace `umbrella-menders`: models - `weave-small`" ; "element removed")]
#[test_case(r#"{ "method": "GET", "path_prefix": "/orders", "idempotent": true }"#, r#"{ "method": "GET", "path_prefix": "/", "idempotent": true }"# => "~ service `ordering-desk`: routes - `{\"idempotent\":true,\"method\":\"GET\",\"path_prefix\":\"/orders\"}`\n~ service `ordering-desk`: routes + `{\"idempotent\":true,\"method\":\"GET\",\"path_prefix\":\"/\"}`" ; "element changed")]
#[test_case("{\n  \"format\"", "{\n  // A comment.\n  \"format\"" => "" ; "comment")]
fn change_is_reported(from: &str, to: &str) -> String {
    let changed = base().replacen(from, to, 1);
    assert_ne!(changed, base());
    ConfigDifference::between(&document(&base()), &document(&changed)).to_string()
}

/// The first matching route applies, so a different order of routes is a change. The order of objects is not.
#[test]
fn order_is_significant_for_routes_only() {
    let before = document(&base());
    let mut after = before.clone();
    after.endpoints.reverse();
    assert!(ConfigDifference::between(&before, &after).is_empty());
    after.services[0].routes.swap(0, 2);
    assert_eq!(ConfigDifference::between(&before, &after).changes.len(), 1);
}
