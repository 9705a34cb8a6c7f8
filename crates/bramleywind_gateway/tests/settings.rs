//! Guards against a bound on requests to leaving endpoints that cannot be kept.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use bramleywind_gateway::settings::GatewaySettings;
use test_case::test_case;

/// Returns the text of a settings file with an additional key.
fn settings(key: &str) -> String {
    format!(
        r#"{{ "instance": "front-1", "data_centre": "north", "listen": {{ "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
            "entries": "127.0.0.1:3", "peers": "127.0.0.1:4", "metrics": "127.0.0.1:5" }}, "store_address": "127.0.0.1:6",
            {key} "stop_grace_seconds": 8, "retries": {{ "share": 0.2, "extra": 52 }} }}"#
    )
}

#[test_case("", 1_700; "default")]
#[test_case(r#""leaving_bound_milliseconds": 4000,"#, 3_700; "large site")]
fn bound_on_leaving_endpoints_limits_the_age_of_the_list(key: &str, max_age_ms: u64) {
    let settings = GatewaySettings::resolve(&settings(key)).unwrap();
    assert_eq!(settings.max_list_age, Duration::from_millis(max_age_ms));
}

#[test]
fn bound_that_is_too_short_is_an_error() {
    let error = GatewaySettings::resolve(&settings(r#""leaving_bound_milliseconds": 300,"#));
    let text = error.unwrap_err().to_string();
    insta::assert_snapshot!(text, @"`leaving_bound_milliseconds` is 300; give more than 300");
}
