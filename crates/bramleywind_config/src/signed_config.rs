use bramleywind_macros::domain_type;
use bramleywind_types::ConfigRevision;
use snafu::Snafu;

use crate::{
    ConfigDocument, ConfigSignature, DiagnosticList, OperatorPublicKey, OperatorSigningKey,
    check_document,
};

/// Separates these signatures from any other use of the operators' key.
const SIGNATURE_CONTEXT: &[u8] = b"bramleywind configuration v1\n";

/// A configuration as the store and the peers carry it: the text that the operators signed, unchanged.
///
/// The signature covers the text rather than the parsed document, so that no serializer has to be
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
    /// The revision, one more than that of the configuration it replaces.
    pub revision: ConfigRevision,
    /// The document exactly as it was signed: JSON, possibly with comments.
    pub document: Box<str>,
    /// The operators' signature over revision and text.
    pub signature: ConfigSignature,
}

/// Why a signed configuration was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SignedConfigError {
    /// The signature does not match the revision, the text and the key.
    #[snafu(display(
        "the signature of revision `{revision}` does not match the public key `{public_key}`; sign the document with the key that the routers' `operator_public_key` names"
    ))]
    BadSignature {
        /// The revision that the configuration claims.
        revision: ConfigRevision,
        /// The key that it was verified with.
        public_key: Box<str>,
    },
    /// The signature is valid, but the document is not.
    #[snafu(display("revision `{revision}` is signed but not valid:\n{diagnostics}"))]
    BadDocument {
        /// The revision.
        revision: ConfigRevision,
        /// What is wrong with the document.
        diagnostics: DiagnosticList,
    },
}

impl SignedConfig {
    /// Signs a document's text. The text is not checked here; see [`check_document`].
    pub fn sign(revision: ConfigRevision, document: &str, key: &OperatorSigningKey) -> Self {
        let signature = key.sign(&signed_bytes(revision, document));
        Self { revision, document: document.into(), signature }
    }

    /// Reads the value of the store key `config`.
    ///
    /// # Errors
    ///
    /// If the value is not a signed configuration of this version. The signature is not verified here.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The value of the store key `config`.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("three fields of text and number always serialize")
    }

    /// Checks the signature alone.
    ///
    /// # Errors
    ///
    /// [`SignedConfigError::BadSignature`] if revision, text and signature do not belong together.
    pub fn verify(&self, public_key: &OperatorPublicKey) -> Result<(), SignedConfigError> {
        let message = signed_bytes(self.revision, &self.document);
        public_key.verifying_key().verify_strict(&message, self.signature.signature()).map_err(
            |_| SignedConfigError::BadSignature {
                revision: self.revision,
                public_key: public_key.to_string().into(),
            },
        )
    }

    /// Checks the signature and then the document, and returns the document.
    ///
    /// # Errors
    ///
    /// [`SignedConfigError`]; the document of a bad signature is never parsed.
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
