use std::{cell::Cell, rc::Rc};

use async_channel::{SendError, Sender};
use bytes::Bytes;

/// Sends the chunks of a streamed body. Dropping it without [`Self::finish`] truncates the body.
#[derive(Debug)]
pub struct BodySender {
    chunks: Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

impl BodySender {
    pub(crate) fn new(chunks: Sender<Bytes>, is_complete: Rc<Cell<bool>>) -> Self {
        Self { chunks, is_complete }
    }

    /// Sends a chunk, waiting until the buffer has room for it.
    ///
    /// # Errors
    ///
    /// [`SendError`] if the body was dropped, because the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), SendError<Bytes>> {
        self.chunks.send(chunk).await
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        self.is_complete.set(true);
    }
}
