use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// What reading a body came to.
#[derive(Debug)]
pub enum BodyReadOutcome {
    /// The whole body.
    Whole(Bytes),
    /// It is larger than the limit.
    TooLarge,
    /// The connection broke before its end.
    Broken(hyper::Error),
}

/// Reads a body of at most `limit` bytes. The caller bounds the time.
pub async fn read_body(body: &mut Incoming, limit: usize) -> BodyReadOutcome {
    let mut whole = BytesMut::new();
    loop {
        match body.frame().await {
            None => return BodyReadOutcome::Whole(whole.freeze()),
            Some(Err(error)) => return BodyReadOutcome::Broken(error),
            Some(Ok(frame)) => {
                // Trailers carry nothing that is passed on.
                let Ok(data) = frame.into_data() else { continue };
                if whole.len() + data.len() > limit {
                    return BodyReadOutcome::TooLarge;
                }
                whole.extend_from_slice(&data);
            }
        }
    }
}
