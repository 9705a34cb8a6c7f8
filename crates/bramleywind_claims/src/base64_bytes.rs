//! Serializes bytes as base64 text. Claim pages are JSON, in which an array of numbers would take four times the space.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serializer, de::Error as _};

pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = Box::<str>::deserialize(deserializer)?;
    STANDARD.decode(text.as_bytes()).map_err(D::Error::custom)
}
