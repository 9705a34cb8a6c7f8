use bramleywind_macros::domain_type;
use bramleywind_types::ConfigRevision;
use snafu::Snafu;

use crate::{
    ConfigDocument, ConfigSignature, DiagnosticList, OperatorPublicKey, OperatorSigningKey,
    check_document,
};

/// A prefix of the signed message that separates these signatures from any other use of the operators' key.
const SIGNATURE_CONTEXT: &[u8] = b"bramleywind configuration v1\n";

/// A signed configuration, as stored and as exchanged between peers. The document is kept exactly as it was signed.
///
/// The signature covers the text rather than the parsed document, so serialization does not have to be
/// reproducible.
///
/// ```
/// use bramleywind_config::{OperatorSigningKey, SignedConfig};
/// use bramleywind_types::ConfigRevision;
///
/// let key = OperatorSigningKey::from_seed([7; 32]);
/// let signed = SignedConfig::sign(ConfigRevision(3), "{}", &key);
/// assert!(signed.verify(&key.public_key()).is_ok());
///
/// let tampered = SignedConfig { revision: ConfigRevision(4), ..signed };
/// assert!(tampered.verify(&key.public_key()).is_err());
/// ```
#[domain_type]
#[serde(deny_unknown_fields)]
pub struct SignedConfig {
    /// The revision, which is one higher than that of the replaced configuration.
    pub revision: ConfigRevision,
    /// The exact text of the signed document: JSON, possibly with comments.
    pub document: Box<str>,
    /// The operators' signature of the revision and the text.
    pub signature: ConfigSignature,
}

/// The reason why a signed configuration was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SignedConfigError {
    /// The signature does not match the revision, the text and the key.
    #[snafu(display(
        "the signature of revision `{revision}` does not match the public key `{public_key}`; sign the document with the private key that belongs to the routers' `operator_public_key`"
    ))]
    BadSignature {
        /// The revision that is stated in the configuration.
        revision: ConfigRevision,
        /// The public key that the signature was verified with.
        public_key: Box<str>,
    },
    /// The signature is valid, but the document is invalid.
    #[snafu(display(
        "revision `{revision}` is signed, but its document is not valid:\n{diagnostics}"
    ))]
    BadDocument {
        /// The revision of the configuration.
        revision: ConfigRevision,
        /// The errors in the document.
        diagnostics: DiagnosticList,
    },
}

impl SignedConfig {
    /// Signs the text of a document. The document is not validated; see [`check_document`].
    pub fn sign(revision: ConfigRevision, document: &str, key: &OperatorSigningKey) -> Self {
        let signature = key.sign(&signed_bytes(revision, document));
        Self { revision, document: document.into(), signature }
    }

    /// Deserializes the value of the store key `config`.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a signed configuration of this version. The signature is not verified.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Serializes the configuration as the value of the store key `config`.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("string and integer fields always serialize")
    }

    /// Verifies the signature without validating the document.
    ///
    /// # Errors
    ///
    /// Returns [`SignedConfigError::BadSignature`] if the signature does not match the revision, the text and the key.
    pub fn verify(&self, public_key: &OperatorPublicKey) -> Result<(), SignedConfigError> {
        let message = signed_bytes(self.revision, &self.document);
        public_key.verifying_key().verify_strict(&message, self.signature.signature()).map_err(
            |_| SignedConfigError::BadSignature {
                revision: self.revision,
                public_key: public_key.to_string().into(),
            },
        )
    }

    /// Verifies the signature, then validates the document and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`SignedConfigError`] if the signature or the document is invalid. A document with an invalid signature
    /// is never parsed.
    pub fn open(
        &self,
        public_key: &OperatorPublicKey,
    ) -> Result<ConfigDocument, SignedConfigError> {
        self.verify(public_key)?;
        check_document(&self.document).map_err(|diagnostics| SignedConfigError::BadDocument {
            revision: self.revision,
            diagnostics,
        })
    }
}

fn signed_bytes(revision: ConfigRevision, document: &str) -> Vec<u8> {
    [SIGNATURE_CONTEXT, &revision.0.to_be_bytes(), document.as_bytes()].concat()
}
