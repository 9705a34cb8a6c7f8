//! Tests that a program prints either a document that routers accept or all errors, and never a bearer key.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[allow(dead_code, reason = "an example's `main` is not called here")]
#[path = "../examples/audio_guides.rs"]
mod audio_guides;
#[allow(dead_code, reason = "an example's `main` is not called here")]
#[path = "../examples/umbrella_menders.rs"]
mod umbrella_menders;

use bramleywind_config::{ConfigDocument, check_document};
use bramleywind_operator::{
    EndpointAddress, EndpointSpec, Fleet, FleetError, ModelSpec, ServiceSpec, WorkspaceSpec,
};
use test_case::test_case;

/// Returns `count` numbered endpoints per name, on ports of the loopback interface.
fn endpoint_addresses(names: &[(&str, usize)]) -> Vec<EndpointAddress> {
    let ids = names.iter().flat_map(|(name, count)| (1..=*count).map(move |n| (name, n)));
    ids.enumerate()
        .map(|(index, (name, n))| format!("{name}-{n}=127.0.0.1:{}", 9000 + index).parse().unwrap())
        .collect()
}

/// Checks both example programs with the number of endpoints of their deployments.
#[test_case(&umbrella_menders::build_fleet(&endpoint_addresses(&[("engine", 10), ("desk", 3)])), ("POST", "/orders") ; "umbrella menders")]
#[test_case(&audio_guides::build_fleet(&endpoint_addresses(&[("engine", 20), ("locker", 3)])), ("POST", "/unlock") ; "audio guides")]
fn example_prints_a_valid_document(fleet: &Fleet, at_most_once: (&str, &str)) {
    let text = fleet.to_json().unwrap();
    assert!(!text.contains("example-key"), "a bearer key is printed");
    let document: ConfigDocument = check_document(&text).unwrap();
    assert_eq!(document.workspaces.len(), 10);
    assert_eq!(document.budgets.len(), 10);
    let mut data_centres: Vec<_> = document.endpoints.iter().map(|e| &e.data_centre).collect();
    data_centres.sort();
    data_centres.dedup();
    assert_eq!(data_centres.len(), 3);
    let route = &document.services[0].routes[0];
    assert_eq!((&*route.method, &*route.path_prefix), at_most_once);
    assert!(!route.idempotent);
}

/// Guards against reporting one bad name per run, which would take an operator one run for each of them.
#[test]
fn all_bad_names_are_reported_together() {
    let fleet = Fleet::new()
        .model(ModelSpec::new("Weave", 1))
        .service(ServiceSpec::new("", 1))
        .workspace(
            WorkspaceSpec::new("umbrella menders")
                .budget("spring/season", 1)
                .key_hash("abc", "spring-season"),
        )
        .endpoint(EndpointSpec::engine("engine-1", ["weave"]).at("engine-1:8080"));
    let FleetError::BadNames { errors } = fleet.build().unwrap_err() else {
        panic!("the names were not reported")
    };
    insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!("bad_names", errors.join("\n"));
    });
}

/// Guards against printing a document that breaks rules, which the routers would refuse later.
#[test]
fn broken_rules_are_reported() {
    let fleet = Fleet::new()
        .model(ModelSpec::new("weave", 0))
        .workspace(WorkspaceSpec::new("menders").key("a", "spring").may_use_model("weave"));
    let error = fleet.build().unwrap_err();
    let FleetError::Invalid { diagnostics } = error else { panic!("{error}") };
    let rules: Vec<_> = diagnostics.0.iter().map(|diagnostic| diagnostic.rule).collect();
    assert_eq!(rules, ["unknown_reference", "zero_slots"]);
}
