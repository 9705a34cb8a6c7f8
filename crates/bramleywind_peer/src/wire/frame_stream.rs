//! Reading and writing of frames over the two halves of an h2 stream.

use std::{
    future::poll_fn,
    task::{Poll, ready},
};

use bytes::{Buf as _, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use snafu::ResultExt as _;

use super::frame::{FRAME_PREFIX_BYTES, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES};
use crate::{ConnectionError, connection_error::TransportSnafu};

/// Reads frames from the receiving half of a stream.
#[derive(Debug)]
pub struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
    max_frame_bytes: usize,
}

impl FrameReader {
    /// Creates a reader that accepts messages of up to [`MAX_HANDSHAKE_FRAME_BYTES`], the limit until the peer
    /// is authenticated.
    pub fn new(stream: RecvStream) -> Self {
        let max_frame_bytes = MAX_HANDSHAKE_FRAME_BYTES;
        Self { stream, buffer: BytesMut::new(), max_frame_bytes }
    }

    /// Allows messages of up to [`MAX_FRAME_BYTES`], because the peer is authenticated.
    pub fn allow_large_frames(&mut self) {
        self.max_frame_bytes = MAX_FRAME_BYTES;
    }

    /// Waits for the next message and returns it without its length prefix. No data is lost if the future is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails if the stream is closed, or the peer announced a frame that exceeds the limit.
    pub async fn next(&mut self) -> Result<Bytes, ConnectionError> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            let data = poll_fn(|context| self.stream.poll_data(context)).await;
            let data = data.ok_or(ConnectionError::Closed)?.context(TransportSnafu)?;
            self.buffer.extend_from_slice(&data);
            // The buffer holds at most one frame and one h2 window, so the capacity is released at once.
            self.stream.flow_control().release_capacity(data.len()).context(TransportSnafu)?;
        }
    }

    fn take_message(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        let Some(prefix) = self.buffer.first_chunk::<FRAME_PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.max_frame_bytes {
            return Err(ConnectionError::Oversize { length, limit: self.max_frame_bytes });
        }
        if self.buffer.len() < FRAME_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(FRAME_PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}

/// Writes frames to the sending half of a stream.
#[derive(Debug)]
pub struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameWriter {
    /// Creates a writer.
    pub fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Ends the stream after what was sent. A stream that is only dropped is reset, and the peer may then miss
    /// the last frames.
    ///
    /// # Errors
    ///
    /// Fails if the stream is closed.
    pub fn finish(&mut self) -> Result<(), ConnectionError> {
        self.stream.send_data(Bytes::new(), true).context(TransportSnafu)
    }

    /// Sends a frame as the peer's window allows. The future must be polled to completion: dropping it may
    /// leave a partial frame on the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream is closed.
    pub async fn send(&mut self, mut frame: Bytes) -> Result<(), ConnectionError> {
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let capacity = poll_fn(|context| {
                // The h2 layer reports only changes, so capacity that is already available is used first.
                while self.stream.capacity() == 0 {
                    match ready!(self.stream.poll_capacity(context)) {
                        None => return Poll::Ready(Err(ConnectionError::Closed)),
                        Some(granted) => granted.context(TransportSnafu)?,
                    };
                }
                Poll::Ready(Ok(self.stream.capacity()))
            })
            .await?;
            let chunk = frame.split_to(capacity.min(frame.len()));
            self.stream.send_data(chunk, false).context(TransportSnafu)?;
        }
        Ok(())
    }
}
