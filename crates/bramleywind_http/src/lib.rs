//! HTTP/1.1 over compio: ports that accept connections, and connections to other processes.
//!
//! hyper implements the protocol. This crate adds what is left to the owner of a connection: socket options,
//! timeouts, and how a connection is closed.

mod body_memory;
mod body_sender;
mod compact_stream;
mod connection_count;
mod head_budget;
mod head_size;
mod http_connection;
mod http_listener;
mod response_body;
mod traffic_totals;

pub use body_memory::{BodyMemory, HeldBytes};
pub use body_sender::BodySender;
pub use connection_count::ConnectionCount;
pub use head_size::head_size;
pub use http_connection::{ConnectionError, HttpConnection};
pub use http_listener::{BoundListener, HeadLimits, HttpListener};
pub use response_body::{BodyChunks, ResponseBody, TruncatedBody};
pub use traffic_totals::TrafficTotals;
