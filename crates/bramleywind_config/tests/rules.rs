//! Tests that each rule accepts its good fixture and reports its bad fixture with the position, the value and a fix.
//! The tests fail for a rule that never runs and for a rule that rejects a valid document.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{fs, path::Path};

use bramleywind_config::check_document;
use test_case::test_case;

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/rules").join(name);
    fs::read_to_string(path).unwrap()
}

#[test_case("duplicate_id")]
#[test_case("duplicate_key")]
#[test_case("endpoint_address")]
#[test_case("foreign_budget")]
#[test_case("format_version")]
#[test_case("missing_field")]
#[test_case("number_range")]
#[test_case("repeated_field")]
#[test_case("route_method")]
#[test_case("route_prefix")]
#[test_case("shadowed_route")]
#[test_case("syntax")]
#[test_case("text_form")]
#[test_case("unknown_field")]
#[test_case("unknown_reference")]
#[test_case("unreachable")]
#[test_case("unserved_model")]
#[test_case("value_type")]
#[test_case("version_conflict")]
#[test_case("zero_slots")]
fn rule_reports_bad_fixture_only(rule: &str) {
    let good = check_document(&fixture(&format!("{rule}_good.jsonc")));
    assert!(good.is_ok(), "{}", good.unwrap_err());
    let errors = check_document(&fixture(&format!("{rule}_bad.jsonc"))).unwrap_err();
    for diagnostic in &errors.0 {
        assert_eq!(diagnostic.rule, rule, "{diagnostic}");
    }
    insta::with_settings!({ snapshot_path => "rules", prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!(rule, errors.to_string());
    });
}

/// If the check stopped at the first error, an operator would have to run it once for each error.
#[test]
fn errors_of_all_rules_are_reported_at_once() {
    let text = fixture("value_type_bad.jsonc").replace("250000", "-1").replace("/orders", "orders");
    let errors = check_document(&text).unwrap_err();
    let rules: Vec<_> = errors.0.iter().map(|diagnostic| diagnostic.rule).collect();
    assert!(rules.contains(&"value_type"));
    assert!(rules.contains(&"number_range"));
    assert!(rules.contains(&"route_prefix"));
    assert!(errors.0.is_sorted_by_key(|diagnostic| diagnostic.line));
}
