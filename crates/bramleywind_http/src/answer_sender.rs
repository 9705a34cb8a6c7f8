use std::{cell::Cell, rc::Rc};

use async_channel::{SendError, Sender};
use bytes::Bytes;

/// Sends the pieces of a body. Dropping it without [`Self::finish`] leaves the body truncated.
#[derive(Debug)]
pub struct AnswerSender {
    pieces: Sender<Bytes>,
    is_whole: Rc<Cell<bool>>,
}

impl AnswerSender {
    pub(crate) fn new(pieces: Sender<Bytes>, is_whole: Rc<Cell<bool>>) -> Self {
        Self { pieces, is_whole }
    }

    /// Sends a piece, once there is room for it.
    ///
    /// # Errors
    ///
    /// The body was dropped: the caller has gone.
    pub async fn send(&self, piece: Bytes) -> Result<(), SendError<Bytes>> {
        self.pieces.send(piece).await
    }

    /// Ends when the body is dropped.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// Notes that all pieces were sent.
    pub fn finish(self) {
        self.is_whole.set(true);
    }
}
