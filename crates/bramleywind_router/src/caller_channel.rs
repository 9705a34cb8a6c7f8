use std::time::Duration;

use bramleywind_http::{BodySender, ResponseBody};
use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::Either;
use http::Response;

/// The error of an operation whose caller disconnected or stopped reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// Sends the response of a request from its task to the caller's connection.
///
/// The task outlives the connection, because it still has to settle the bill of a caller that disconnected.
#[derive(Debug)]
pub struct CallerChannel {
    state: ChannelState,
    write_time: Duration,
}

#[derive(Debug)]
enum ChannelState {
    Waiting(oneshot::Sender<Response<ResponseBody>>),
    Streaming(BodySender),
    Ended,
}

impl CallerChannel {
    /// Creates a channel, and the receiver on which the connection waits for the response. `write_time`
    /// limits how long the caller may leave a chunk of the body unread.
    pub fn new(write_time: Duration) -> (Self, oneshot::Receiver<Response<ResponseBody>>) {
        let (sender, receiver) = oneshot::channel();
        (Self { state: ChannelState::Waiting(sender), write_time }, receiver)
    }

    /// Returns true while no part of the response has been sent.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, ChannelState::Waiting(_))
    }

    /// Waits until the caller is gone.
    pub async fn wait_until_gone(&mut self) -> CallerGone {
        match &mut self.state {
            ChannelState::Waiting(sender) => sender.cancellation().await,
            ChannelState::Streaming(sender) => sender.closed().await,
            ChannelState::Ended => {}
        }
        CallerGone
    }

    /// Sends a complete response.
    pub fn finish(&mut self, response: Response<ResponseBody>) -> Result<(), CallerGone> {
        match std::mem::replace(&mut self.state, ChannelState::Ended) {
            ChannelState::Waiting(sender) => sender.send(response).map_err(|_| CallerGone),
            ChannelState::Streaming(_) | ChannelState::Ended => Err(CallerGone),
        }
    }

    /// Sends the head of a response whose body is streamed.
    pub fn begin_stream(&mut self, head: Response<()>) -> Result<(), CallerGone> {
        // The channel holds one chunk; hyper has a bounded buffer of its own.
        let (sender, body) = ResponseBody::streamed(1);
        self.finish(head.map(|()| body))?;
        self.state = ChannelState::Streaming(sender);
        Ok(())
    }

    /// Sends a chunk of the body, waiting until there is room for it.
    pub async fn send(&mut self, piece: Bytes) -> Result<(), CallerGone> {
        let ChannelState::Streaming(sender) = &self.state else { return Err(CallerGone) };
        match compio::time::timeout(self.write_time, sender.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    /// Ends a streamed body.
    pub fn end_stream(&mut self) {
        if let ChannelState::Streaming(sender) =
            std::mem::replace(&mut self.state, ChannelState::Ended)
        {
            sender.finish();
        }
    }

    /// Runs `work` until it ends or the caller is gone.
    pub async fn run_unless_gone<T>(
        &mut self,
        work: impl Future<Output = T>,
    ) -> Result<T, CallerGone> {
        let gone = std::pin::pin!(self.wait_until_gone());
        let work = std::pin::pin!(work);
        match futures_util::future::select(work, gone).await {
            Either::Left((output, _)) => Ok(output),
            Either::Right((gone, _)) => Err(gone),
        }
    }
}
