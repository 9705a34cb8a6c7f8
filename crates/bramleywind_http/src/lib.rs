//! HTTP/1.1 over compio: ports that accept connections, and connections to other processes.
//!
//! hyper speaks the protocol. This crate adds what a connection's owner must decide: socket options, timeouts,
//! and how a connection ends.

mod answer_body;
mod answer_sender;
mod head_size;
mod http_connection;
mod http_listener;

pub use answer_body::{AnswerBody, AnswerPieces, TruncatedAnswer};
pub use answer_sender::AnswerSender;
pub use head_size::head_size;
pub use http_connection::{ConnectionError, HttpConnection};
pub use http_listener::{BoundListener, HeadLimits, HttpListener};
