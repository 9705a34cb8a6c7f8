//! The frames that wait to be written to one connection. The types are only used together.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;

/// The most frames that wait, so that a peer that stalls cannot take all memory.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// The most bytes that wait.
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
    /// Adds a frame. False if the queue is full or the connection has ended.
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
    /// Waits for the next frame. Nothing if all senders are gone.
    pub(crate) async fn next(&self) -> Option<Bytes> {
        let frame = self.frames.recv().await.ok()?;
        self.bytes.set(self.bytes.get() - frame.len());
        Some(frame)
    }
}
