use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use async_channel::Receiver;
use bytes::Bytes;
use compio::runtime::JoinHandle;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;

use crate::BodySender;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is completely in memory.
    Complete(Full<Bytes>),
    /// A body that is sent in chunks as they arrive.
    Streamed(BodyChunks),
}

/// The receiving end of a streamed body. If its sender is dropped without [`BodySender::finish`], for any reason, the
/// connection is aborted, so that a truncated body is never mistaken for a complete one.
#[derive(Debug)]
pub struct BodyChunks {
    chunks: Pin<Box<Receiver<Bytes>>>,
    is_complete: Rc<Cell<bool>>,
    /// The task that sends the chunks, if it is to be cancelled when the body is dropped.
    relay: Option<JoinHandle<()>>,
}

/// Error of a body whose sender was dropped before the body was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the endpoint ended the response before it was complete"))]
pub struct TruncatedBody;

impl ResponseBody {
    /// Returns a streamed body and its sender. At most `capacity` chunks are buffered for a caller that reads slowly.
    pub fn streamed(capacity: usize) -> (BodySender, Self) {
        let (sender, receiver) = async_channel::bounded(capacity);
        let is_complete = Rc::new(Cell::new(false));
        let chunks = BodyChunks {
            chunks: Box::pin(receiver),
            is_complete: Rc::clone(&is_complete),
            relay: None,
        };
        (BodySender::new(sender, is_complete), Self::Streamed(chunks))
    }

    /// Cancels `task` when the body is dropped, which means that the caller has disconnected.
    pub fn with_relay_task(mut self, task: JoinHandle<()>) -> Self {
        if let Self::Streamed(chunks) = &mut self {
            chunks.relay = Some(task);
        }
        self
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(Full::new(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Complete(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Self::Streamed(BodyChunks { chunks, is_complete, .. }) => {
                chunks.as_mut().poll_next(context).map(|chunk| match chunk {
                    Some(bytes) => Some(Ok(Frame::data(bytes))),
                    None if is_complete.get() => None,
                    None => Some(Err(TruncatedBody)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
