//! A program must print a document that routers accept, or everything that is wrong, and never a bearer key.

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

fn endpoints(names: &[(&str, usize)]) -> Vec<EndpointAddress> {
    let ids = names.iter().flat_map(|(name, count)| (1..=*count).map(move |n| (name, n)));
    ids.enumerate()
        .map(|(index, (name, n))| format!("{name}-{n}=127.0.0.1:{}", 9000 + index).parse().unwrap())
        .collect()
}

/// The deployments of the two users, in their sizes.
#[test_case(&umbrella_menders::fleet(&endpoints(&[("engine", 10), ("desk", 3)])), ("POST", "/orders") ; "umbrella menders")]
#[test_case(&audio_guides::fleet(&endpoints(&[("engine", 20), ("locker", 3)])), ("POST", "/unlock") ; "audio guides")]
fn example_prints_a_valid_document(fleet: &Fleet, at_most_once: (&str, &str)) {
    let text = fleet.to_json().unwrap();
    assert!(!text.contains("example-key"), "a bearer key is printed");
    let document: ConfigDocument = check_document(&text).unwrap();
    assert_eq!(document.workspaces.len(), 10);
    assert_eq!(document.budgets.len(), 10);
    let mut centres: Vec<_> = document.endpoints.iter().map(|e| &e.data_centre).collect();
    centres.sort();
    centres.dedup();
    assert_eq!(centres.len(), 3);
    let route = &document.services[0].routes[0];
    assert_eq!((&*route.method, &*route.path_prefix), at_most_once);
    assert!(!route.idempotent);
}

/// An operator who has to run the program once for each bad name gives up on it.
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

/// What the builder lets through, the routers would refuse later.
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
