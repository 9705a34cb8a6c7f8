//! Encoding and decoding of single messages.

use bytes::{BufMut as _, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

use crate::ConnectionError;

/// Maximum size of a message, in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Maximum size of a message before the peer is authenticated, in bytes. It bounds the memory that an
/// unauthenticated peer can take.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 * 1024;

/// Size of the length prefix of each message, in bytes.
pub const FRAME_PREFIX_BYTES: usize = 4;

/// Encodes a message with its length prefix.
///
/// # Errors
///
/// Fails if the message cannot be encoded or exceeds [`MAX_FRAME_BYTES`].
pub fn encode_frame<M: Serialize>(message: &M) -> Result<Bytes, ConnectionError> {
    let mut frame = BytesMut::new();
    frame.put_u32(0);
    let mut writer = frame.writer();
    bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
        .map_err(|error| ConnectionError::Malformed { detail: error.to_string().into() })?;
    let mut frame = writer.into_inner();
    let length = frame.len() - FRAME_PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(ConnectionError::Oversize { length, limit: MAX_FRAME_BYTES });
    }
    frame[..FRAME_PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame.freeze())
}

/// Decodes a message that has no length prefix.
///
/// # Errors
///
/// Fails if the bytes are not exactly one message.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, ConnectionError> {
    // The limit prevents a forged length inside the message from reserving memory.
    let config = bincode::config::standard().with_limit::<{ 2 * MAX_FRAME_BYTES }>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|error| ConnectionError::Malformed { detail: error.to_string().into() })?;
    if used != bytes.len() {
        return Err(ConnectionError::Malformed {
            detail: "trailing bytes after the message".into(),
        });
    }
    Ok(message)
}
