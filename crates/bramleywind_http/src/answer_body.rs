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

use crate::AnswerSender;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body that is known as a whole.
    Whole(Full<Bytes>),
    /// A body that arrives in pieces.
    Pieces(AnswerPieces),
}

/// The pieces of a body. If they stop without [`AnswerSender::finish`], for whatever reason, the connection breaks, so that a
/// truncated body is never taken for a whole one.
#[derive(Debug)]
pub struct AnswerPieces {
    pieces: Pin<Box<Receiver<Bytes>>>,
    is_whole: Rc<Cell<bool>>,
    /// The task that sends them, if it ends with the body.
    relay: Option<JoinHandle<()>>,
}

/// The rest of a body is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the endpoint broke off its answer"))]
pub struct TruncatedAnswer;

impl AnswerBody {
    /// A body that arrives in pieces, of which at most `most` wait for a caller that reads slowly, and its sender.
    pub fn in_pieces(most: usize) -> (AnswerSender, Self) {
        let (sender, receiver) = async_channel::bounded(most);
        let is_whole = Rc::new(Cell::new(false));
        let pieces = AnswerPieces {
            pieces: Box::pin(receiver),
            is_whole: Rc::clone(&is_whole),
            relay: None,
        };
        (AnswerSender::new(sender, is_whole), Self::Pieces(pieces))
    }

    /// Ends `task` when the body is dropped, because the caller has gone.
    pub fn ending(mut self, task: JoinHandle<()>) -> Self {
        if let Self::Pieces(pieces) = &mut self {
            pieces.relay = Some(task);
        }
        self
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Pieces(AnswerPieces { pieces, is_whole, .. }) => {
                pieces.as_mut().poll_next(context).map(|piece| match piece {
                    Some(bytes) => Some(Ok(Frame::data(bytes))),
                    None if is_whole.get() => None,
                    None => Some(Err(TruncatedAnswer)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
