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
    /// The connection was lost before the end of the body.
    Broken(hyper::Error),
}

/// Reads a body of at most `limit` bytes. There is no timeout; the caller of this function sets one.
pub async fn read_body(body: &mut Incoming, limit: usize) -> BodyReadOutcome {
    let mut buffer = BytesMut::new();
    loop {
        match body.frame().await {
            None => return BodyReadOutcome::Whole(buffer.freeze()),
            Some(Err(error)) => return BodyReadOutcome::Broken(error),
            Some(Ok(frame)) => {
                // Trailers are not forwarded.
                let Ok(data) = frame.into_data() else { continue };
                if buffer.len() + data.len() > limit {
                    return BodyReadOutcome::TooLarge;
                }
                buffer.extend_from_slice(&data);
            }
        }
    }
}
