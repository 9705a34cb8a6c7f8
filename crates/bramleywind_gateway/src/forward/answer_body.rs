use std::{
    pin::Pin,
    task::{Context, Poll},
};

use async_channel::Receiver;
use bytes::Bytes;
use compio::runtime::JoinHandle;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body that is known as a whole.
    Whole(Full<Bytes>),
    /// A body that a relay task passes on in pieces. Dropping it, because the caller has gone, ends the task and with it
    /// the endpoint's work. If the pieces stop without an end, for whatever reason, the connection breaks, so that a
    /// truncated body is never taken for a whole one.
    Relayed {
        /// The pieces.
        pieces: Pin<Box<Receiver<AnswerPiece>>>,
        /// The task that sends them.
        relay: JoinHandle<()>,
    },
}

/// What a relay task sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPiece {
    /// The next bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// The rest of a body is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the endpoint broke off its answer"))]
pub struct TruncatedAnswer;

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
            Self::Relayed { pieces, .. } => {
                pieces.as_mut().poll_next(context).map(|piece| match piece {
                    Some(AnswerPiece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(AnswerPiece::End) => None,
                    None => Some(Err(TruncatedAnswer)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relayed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relayed { .. } => SizeHint::default(),
        }
    }
}
