//! Invalid identifiers must be rejected with a message that names the value and the fix.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_types::{IdempotencyKey, IncarnationId, TokenCount, WorkspaceId};
use test_case::test_case;

#[test_case("", "WorkspaceId is empty; give it at least one character" ; "empty")]
#[test_case("-a", "WorkspaceId `-a` contains `-`; use lower-case letters, digits, `-`, `_` and `.`, and begin with a letter or digit" ; "leading dash")]
#[test_case("a/b", "WorkspaceId `a/b` contains `/`; use lower-case letters, digits, `-`, `_` and `.`, and begin with a letter or digit" ; "slash")]
fn invalid_workspace_id_is_rejected(text: &str, message: &str) {
    assert_eq!(text.parse::<WorkspaceId>().unwrap_err().to_string(), message);
    let json = serde_json::to_string(text).unwrap();
    assert!(serde_json::from_str::<WorkspaceId>(&json).is_err());
}

#[test_case("-1")]
#[test_case("18446744073709551616")]
#[test_case("1e3")]
fn invalid_token_count_is_rejected(text: &str) {
    assert!(text.parse::<TokenCount>().is_err());
    assert!(serde_json::from_str::<TokenCount>(text).is_err());
}

#[test]
fn too_long_key_is_rejected() {
    assert!("k".repeat(128).parse::<IdempotencyKey>().is_ok());
    assert!("k".repeat(129).parse::<IdempotencyKey>().is_err());
}

#[test]
fn incarnation_round_trips_through_json() {
    let incarnation = IncarnationId::from_number(0xfe);
    let json = serde_json::to_string(&incarnation).unwrap();
    assert_eq!(json, r#""00000000000000fe""#);
    assert_eq!(serde_json::from_str::<IncarnationId>(&json).unwrap(), incarnation);
}
