use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncBufRead, AsyncRead, AsyncWrite};
use hyper::rt::ReadBufCursor;

use super::traffic_totals::TrafficTotals;

/// The size of each of a connection's two buffers, in bytes. Hyper has buffers of its own, so these only hold the data of
/// one system call.
const BUFFER_BYTES: usize = 2 * 1024;

/// A TCP stream for hyper with small buffers, for processes that hold many idle connections.
#[derive(Debug)]
pub(crate) struct CompactStream(Pin<Box<AsyncStream<TcpStream>>>);

impl CompactStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Box::pin(AsyncStream::with_capacity(BUFFER_BYTES, stream)))
    }
}

impl hyper::rt::Read for CompactStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.0.as_mut();
        let available = ready!(stream.poll_fill_buf(context))?;
        let count = available.len().min(buffer.remaining());
        buffer.put_slice(&available[..count]);
        self.0.as_mut().consume(count);
        TrafficTotals::record_received(count);
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for CompactStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(self.0.as_mut().poll_write(context, bytes))?;
        TrafficTotals::record_sent(count);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_close(context)
    }
}

impl AsyncRead for CompactStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(self.0.as_mut().poll_read(context, buffer))?;
        TrafficTotals::record_received(count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for CompactStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_close(context)
    }
}
