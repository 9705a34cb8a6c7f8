use std::{fmt, str::FromStr};

use bramleywind_types::NameError;
use ed25519_dalek::{SIGNATURE_LENGTH, Signature};

/// An Ed25519 signature of a configuration, written as 128 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct ConfigSignature(Signature);

impl ConfigSignature {
    pub(crate) fn signature(&self) -> &Signature {
        &self.0
    }
}

impl From<Signature> for ConfigSignature {
    fn from(signature: Signature) -> Self {
        Self(signature)
    }
}

impl fmt::Debug for ConfigSignature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ConfigSignature({self})")
    }
}

impl fmt::Display for ConfigSignature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.to_bytes()))
    }
}

impl FromStr for ConfigSignature {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; SIGNATURE_LENGTH];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| NameError::NotHex {
            kind: "ConfigSignature",
            value: text.into(),
            digits: 2 * SIGNATURE_LENGTH,
        })?;
        Ok(Self(Signature::from_bytes(&bytes)))
    }
}

impl TryFrom<Box<str>> for ConfigSignature {
    type Error = NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ConfigSignature> for Box<str> {
    fn from(signature: ConfigSignature) -> Self {
        signature.to_string().into()
    }
}
