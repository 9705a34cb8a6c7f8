//! Tests that a configuration is rejected if any part of it differs from what an operator signed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_config::{OperatorSigningKey, SignedConfig, SignedConfigError};
use bramleywind_types::ConfigRevision;
use proptest::prelude::*;
use test_case::test_case;

const TEXT: &str = r#"{ "format": 1, "workspaces": [], "budgets": [], "models": [], "services": [], "endpoints": [] }"#;

fn key() -> OperatorSigningKey {
    OperatorSigningKey::from_seed([7; 32])
}

fn signed() -> SignedConfig {
    SignedConfig::sign(ConfigRevision(3), TEXT, &key())
}

fn other_signature(revision: u64, text: &str) -> SignedConfig {
    let signature = SignedConfig::sign(ConfigRevision(revision), text, &key()).signature;
    SignedConfig { signature, ..signed() }
}

#[test]
fn signed_config_round_trips_through_the_store() {
    let read = SignedConfig::from_bytes(&signed().to_bytes()).unwrap();
    assert_eq!(read, signed());
    assert_eq!(read.open(&key().public_key()).unwrap().format, 1);
}

#[test_case(SignedConfig { revision: ConfigRevision(4), ..signed() } ; "raised revision")]
#[test_case(SignedConfig { document: format!("{TEXT} ").into(), ..signed() } ; "white space")]
#[test_case(SignedConfig { document: TEXT.replace('1', "2").into(), ..signed() } ; "other document")]
#[test_case(SignedConfig { document: "".into(), ..signed() } ; "no document")]
#[test_case(other_signature(4, TEXT) ; "signature of another revision")]
#[test_case(other_signature(3, "{}") ; "signature of another document")]
#[test_case(SignedConfig::sign(ConfigRevision(3), TEXT, &OperatorSigningKey::from_seed([8; 32])) ; "another key")]
fn tampered_config_is_refused(config: SignedConfig) {
    let error = config.open(&key().public_key()).unwrap_err();
    assert!(matches!(error, SignedConfigError::BadSignature { .. }), "{error}");
}

/// A validly signed document can still be invalid, for example if an operator signed it with an older tool.
#[test]
fn signed_but_invalid_document_is_refused() {
    let config = SignedConfig::sign(ConfigRevision(3), r#"{ "format": 2 }"#, &key());
    let error = config.open(&key().public_key()).unwrap_err();
    assert!(matches!(error, SignedConfigError::BadDocument { .. }), "{error}");
}

proptest! {
    #[test]
    fn flipped_bit_is_detected(position in 0..signed().to_bytes().len(), bit in 0..8_u32) {
        let mut bytes = signed().to_bytes();
        bytes[position] ^= 1 << bit;
        if let Ok(config) = SignedConfig::from_bytes(&bytes) {
            // Flipping one bit can change the case of a hexadecimal digit, which leaves the signature unchanged.
            prop_assert!(config == signed() || config.verify(&key().public_key()).is_err());
        }
    }
}

/// A private key in debug output or an error message would leak into logs.
#[test]
fn private_key_is_never_printed() {
    assert!(!format!("{:?}", key()).contains(&*key().to_hex()));
    let error = OperatorSigningKey::from_hex("07070707").unwrap_err().to_string();
    assert!(!error.contains("0707"), "{error}");
}
