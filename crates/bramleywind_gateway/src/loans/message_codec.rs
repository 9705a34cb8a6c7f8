//! The encoding of messages between gateways, which is bincode.

use bincode::{
    config::standard,
    error::{DecodeError, EncodeError},
    serde::{decode_from_slice, encode_to_vec},
};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// Encodes a message.
pub(super) fn encode_message(message: &impl Serialize) -> Result<Bytes, EncodeError> {
    encode_to_vec(message, standard()).map(Bytes::from)
}

/// Decodes a message.
pub(super) fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    decode_from_slice(bytes, standard()).map(|(message, _)| message)
}

/// Decodes a message that earlier builds send without its last fields.
pub(super) fn decode_either<T, E>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned + From<E>,
    E: DeserializeOwned,
{
    decode_message(bytes).or_else(|_| decode_message::<E>(bytes).map(T::from))
}
