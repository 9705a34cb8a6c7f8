//! Tests that an invalid settings file is rejected with all of its errors, and that secrets are never printed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{fs, path::Path};

use bramleywind_settings::{
    DaemonSettings, Secret, SecretError, SecretLocation, SecretSource, SettingsError,
};
use test_case::test_case;

const TOKEN: &str = "a token of enough length";

/// A source with the secrets of the fixtures: the variable `GOOD` and files named `good` hold a valid secret, other
/// files hold one that is a byte too short, and other variables are not set.
#[derive(Debug)]
struct FixedSecrets;

impl SecretSource for FixedSecrets {
    fn read(&self, location: &SecretLocation) -> Result<Secret, SecretError> {
        match location {
            SecretLocation::Environment(name) if &**name == "GOOD" => Ok(Secret::new(TOKEN)),
            SecretLocation::Environment(name) => {
                Err(SecretError::Environment { name: name.clone() })
            }
            SecretLocation::File(path) if path.ends_with("good") => Ok(Secret::new(TOKEN)),
            SecretLocation::File(_) => Ok(Secret::new("0123456789abcde")),
        }
    }
}

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/rules").join(name);
    fs::read_to_string(path).unwrap()
}

#[test_case("advertised_address")]
#[test_case("duplicate_peer")]
#[test_case("fixed_port")]
#[test_case("missing_field")]
#[test_case("number_range")]
#[test_case("secret")]
#[test_case("text_form")]
#[test_case("timeout_order")]
#[test_case("unknown_field")]
#[test_case("value_type")]
#[test_case("zero_limit")]
fn rule_reports_bad_fixture_only(rule: &str) {
    let good = DaemonSettings::resolve(&fixture(&format!("{rule}_good.jsonc")), &FixedSecrets);
    assert!(good.is_ok(), "{}", good.unwrap_err());
    let bad = fixture(&format!("{rule}_bad.jsonc"));
    let errors = DaemonSettings::resolve(&bad, &FixedSecrets).unwrap_err();
    for diagnostic in &errors.0 {
        assert_eq!(diagnostic.rule, rule, "{diagnostic}");
    }
    insta::with_settings!({ snapshot_path => "rules", prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!(rule, errors.to_string());
    });
}

/// An unnoticed change of a default would affect every deployment that relies on it. A secret in this snapshot would
/// also appear in dumps and logs.
#[test]
fn defaults_are_filled_in_and_secrets_hidden() {
    let settings = DaemonSettings::resolve(&fixture("secret_good.jsonc"), &FixedSecrets).unwrap();
    assert_eq!(settings.fleet_secret.expose(), TOKEN);
    assert!(!format!("{settings:?}").contains(TOKEN));
    insta::with_settings!({ snapshot_path => "rules", prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_json_snapshot!("defaults", settings);
    });
}

/// Instances may share one list of peers, but a router must not connect to itself.
#[test]
fn own_instance_is_not_a_peer() {
    let text = fixture("duplicate_peer_good.jsonc");
    assert!(DaemonSettings::resolve(&text, &FixedSecrets).unwrap().peers.is_empty());
}

/// Operators start from the example in the documentation, so it must stay valid.
#[test]
fn example_of_the_settings_page_is_valid() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = fs::read_to_string(page).unwrap();
    let example = page.split("```jsonc\n").nth(1).unwrap().split("```").next().unwrap();
    let example = example
        .replace("/run/bramleywind/fleet_secret", "good")
        .replace("BRAMLEYWIND_OPERATOR_TOKEN", "GOOD");
    let settings = DaemonSettings::resolve(&example, &FixedSecrets);
    let settings = settings.unwrap_or_else(|errors| panic!("{errors}"));
    // The example lists every default, so it must resolve to the same settings as a file without optional keys.
    let mut bare = DaemonSettings::resolve(&fixture("secret_good.jsonc"), &FixedSecrets).unwrap();
    bare.peers.clone_from(&settings.peers);
    assert_eq!(serde_json::to_value(settings).unwrap(), serde_json::to_value(bare).unwrap(),);
}

#[test]
fn unreadable_files_are_named() {
    let error = DaemonSettings::load(Path::new("/absent/settings.jsonc")).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().contains("`/absent/settings.jsonc`"), "{error}");
}
