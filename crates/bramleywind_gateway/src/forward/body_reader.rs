use bramleywind_http::BodyMemory;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The outcome of reading a body.
#[derive(Debug)]
pub enum BodyReadOutcome {
    /// The body was read to its end.
    Whole(Bytes),
    /// The body is larger than the limit.
    TooLarge,
    /// The memory for bodies is too full for this one.
    NoMemory,
    /// The connection was lost before the end of the body.
    Broken(hyper::Error),
}

/// Reads a body of at most `limit` bytes into `memory`. There is no timeout; the caller of this function sets one.
pub async fn read_body(body: &mut Incoming, limit: usize, memory: &BodyMemory) -> BodyReadOutcome {
    let (mut buffer, mut held) = (BytesMut::new(), memory.hold());
    loop {
        match body.frame().await {
            None if buffer.is_empty() => return BodyReadOutcome::Whole(Bytes::new()),
            None => return BodyReadOutcome::Whole(held.attach(buffer.freeze())),
            Some(Err(error)) => return BodyReadOutcome::Broken(error),
            Some(Ok(frame)) => {
                // Trailers are not forwarded.
                let Ok(data) = frame.into_data() else { continue };
                if buffer.len() + data.len() > limit {
                    return BodyReadOutcome::TooLarge;
                }
                buffer.extend_from_slice(&data);
                if !held.resize(buffer.capacity()) {
                    return BodyReadOutcome::NoMemory;
                }
            }
        }
    }
}
