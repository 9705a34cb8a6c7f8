//! Tests lookups by host, path and key. Guards against requests that are sent to the service of another route.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use bramleywind_gateway::config::{
    FleetConfig, RouteConfig, RouteKind, RouteTable, ServiceShare, WorkspaceAccount, WorkspaceKey,
};
use bramleywind_types::ConfigRevision;
use test_case::test_case;

fn route(name: &str, host: &str, prefix: &str) -> RouteConfig {
    RouteConfig {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        shares: vec![ServiceShare { service: "engines".parse().unwrap(), weight: 1 }],
        attempt_limit: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        target_pause: None,
        rank: 0,
        is_open: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(FleetConfig {
        revision: ConfigRevision(3),
        routes: vec![
            route("root", "a.example", "/"),
            route("orders", "a.example", "/orders/"),
            route("urgent", "a.example", "/orders/urgent/"),
            route("other", "b.example", "/orders/"),
        ],
        workspaces: vec![WorkspaceAccount {
            id: "workspace-1".parse().unwrap(),
            keys: vec![WorkspaceKey::new("k1"), WorkspaceKey::new("k2")],
            rank: None,
            prepaid: None,
        }],
        ..FleetConfig::default()
    })
}

#[test_case("a.example", "/orders/urgent/7" => Some("urgent".to_string()); "longest prefix")]
#[test_case("a.example", "/orders/7" => Some("orders".to_string()); "shorter prefix")]
#[test_case("a.example", "/orders" => Some("root".to_string()); "prefix includes its trailing slash")]
#[test_case("a.example", "/ordersx/7" => Some("root".to_string()); "prefix does not match within a segment")]
#[test_case("a.example", "/orders/urgent/" => Some("urgent".to_string()); "path equal to the prefix")]
#[test_case("b.example", "/orders/urgent/7" => Some("other".to_string()); "other host")]
#[test_case("b.example", "/x" => None; "no matching route of the host")]
#[test_case("c.example", "/orders/7" => None; "unknown host")]
fn route_for_path(host: &str, path: &str) -> Option<String> {
    table().find_route(host, path).map(|route| route.name.to_string())
}

#[test_case("k1" => true; "first key")]
#[test_case("k2" => true; "second key")]
#[test_case("k3" => false; "unknown key")]
#[test_case("" => false; "empty key")]
fn is_known_key(key: &str) -> bool {
    table().find_key(&WorkspaceKey::new(key)).is_some()
}

#[test]
fn debug_form_hides_the_key() {
    assert_eq!(format!("{:?}", WorkspaceKey::new("secret")), "WorkspaceKey(hidden)");
}
