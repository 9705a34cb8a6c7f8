use std::{
    io,
    net::Shutdown,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncBufRead, AsyncRead, AsyncWrite};
use hyper::rt::ReadBufCursor;
use rustix::net::RecvFlags;
use socket2::SockRef;

use super::{head_budget::HeadBudget, traffic_totals::TrafficTotals};

/// The size of each of a connection's two buffers, in bytes. Hyper has buffers of its own, so these only hold the data of
/// one system call.
const BUFFER_BYTES: usize = 2 * 1024;

/// The bytes that are read at once beyond a full buffer. Most requests fit.
const ARRIVED_BYTES: usize = 8 * 1024;

/// The number of reads after which other tasks get a turn, although more data has arrived. hyper reads for as long as there
/// is data, and a peer may send faster than this process reads.
const MAX_READS_IN_ROW: u32 = 16;

/// A TCP stream for hyper with small buffers, for processes that hold many idle connections.
#[derive(Debug)]
pub(crate) struct CompactStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    socket: TcpStream,
    head_budget: HeadBudget,
    /// The number of reads since another task last got a turn.
    reads_in_row: u32,
}

impl CompactStream {
    /// Creates a stream whose reads are not bounded.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self::with_head_budget(stream, HeadBudget::default())
    }

    /// Creates a stream whose reads fail once they exceed the budget.
    pub(crate) fn with_head_budget(stream: TcpStream, head_budget: HeadBudget) -> Self {
        let socket = stream.clone();
        let inner = Box::pin(AsyncStream::with_capacity(BUFFER_BYTES, stream));
        Self { inner, socket, head_budget, reads_in_row: 0 }
    }

    /// Reads what else has arrived, without waiting, if the buffer of one system call was full.
    fn read_arrived(&self, buffer: &mut ReadBufCursor<'_>) -> usize {
        let mut piece = [0; ARRIVED_BYTES];
        let limit = buffer.remaining().min(ARRIVED_BYTES);
        // An error, or the end of the connection, is reported by the next read.
        let count = match rustix::net::recv(&self.socket, &mut piece[..limit], RecvFlags::DONTWAIT)
        {
            Ok((count, _)) => count,
            Err(_) => 0,
        };
        buffer.put_slice(&piece[..count]);
        count
    }

    /// Closes the sending side once everything is written. compio would do so on a thread of its own.
    fn poll_end_sending(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(AsyncWrite::poll_flush(self.inner.as_mut(), context))?;
        Poll::Ready(SockRef::from(&self.socket).shutdown(Shutdown::Write))
    }
}

impl hyper::rt::Read for CompactStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.reads_in_row >= MAX_READS_IN_ROW {
            this.reads_in_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let Poll::Ready(available) = this.inner.as_mut().poll_fill_buf(context) else {
            this.reads_in_row = 0;
            return Poll::Pending;
        };
        let available = available?;
        let mut count = available.len().min(buffer.remaining());
        buffer.put_slice(&available[..count]);
        this.inner.as_mut().consume(count);
        if count == BUFFER_BYTES && buffer.remaining() > 0 {
            count += this.read_arrived(&mut buffer);
        }
        this.reads_in_row += 1;
        TrafficTotals::record_received(count);
        if !this.head_budget.spend(count) {
            return Poll::Ready(Err(io::Error::other(
                "no complete response head within the limit",
            )));
        }
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for CompactStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(self.inner.as_mut().poll_write(context, bytes))?;
        TrafficTotals::record_sent(count);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_end_sending(context)
    }
}

impl AsyncRead for CompactStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(self.inner.as_mut().poll_read(context, buffer))?;
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
        self.inner.as_mut().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_end_sending(context)
    }
}
