//! The wire protocol between routers.
//!
//! A connection carries one h2 stream. Both sides send frames: a big-endian length of 4 bytes, followed by a
//! bincode message of that length. The dialer sends [`DialerMessage`]s, the acceptor [`AcceptorMessage`]s.

mod frame;
mod frame_stream;
mod handshake;
mod messages;

pub use frame::{
    FRAME_PREFIX_BYTES, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES, decode_message, encode_frame,
};
pub use frame_stream::{FrameReader, FrameWriter};
pub use handshake::{
    HandshakeTranscript, Nonce, PROTOCOL_VERSION, PeerIdentity, Proof, ProofSide, RefusalReason,
};
pub use messages::{
    AcceptorMessage, ConfigCopy, DialerMessage, PeerReply, PeerRequest, ReplyEnvelope,
    RequestEnvelope,
};
