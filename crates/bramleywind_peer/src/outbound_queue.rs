//! Bounded queue of the frames to be written to one connection.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;

/// Limit on the queued frames, so that a peer that stalls cannot exhaust the memory.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// Limit on the queued bytes, for the same reason.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug)]
pub(crate) struct OutboundSender {
    frames: async_channel::Sender<Bytes>,
    bytes: Rc<Cell<usize>>,
}

#[derive(Debug)]
pub(crate) struct OutboundReceiver {
    frames: async_channel::Receiver<Bytes>,
    bytes: Rc<Cell<usize>>,
}

pub(crate) fn outbound_queue() -> (OutboundSender, OutboundReceiver) {
    let (sender, receiver) = async_channel::bounded(MAX_QUEUED_FRAMES);
    let bytes = Rc::<Cell<usize>>::default();
    (
        OutboundSender { frames: sender, bytes: Rc::clone(&bytes) },
        OutboundReceiver { frames: receiver, bytes },
    )
}

impl OutboundSender {
    /// Queues a frame. Returns false if the queue is full or the connection has ended.
    pub(crate) fn push(&self, frame: Bytes) -> bool {
        let bytes = self.bytes.get() + frame.len();
        if bytes > MAX_QUEUED_BYTES || self.frames.try_send(frame).is_err() {
            return false;
        }
        self.bytes.set(bytes);
        true
    }
}

impl OutboundReceiver {
    /// Waits for the next frame. Returns `None` once all senders are dropped.
    pub(crate) async fn next(&self) -> Option<Bytes> {
        let frame = self.frames.recv().await.ok()?;
        self.bytes.set(self.bytes.get() - frame.len());
        Some(frame)
    }
}
