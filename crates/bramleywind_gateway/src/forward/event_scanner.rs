use bytes::{Bytes, BytesMut};

use crate::platform_api::EventId;

/// Maximum size of a buffered incomplete event, in bytes. Larger events are forwarded in pieces, and the stream cannot
/// be resumed after such a piece.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Maximum size of an event, in bytes. An endpoint that sends more without the end of the event is treated as failed.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Holds the complete events found in received bytes, unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScannedEvents {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The number of events that end in the bytes.
    pub count: u64,
    /// The last id among these events, if any of them has one.
    pub last_id: Option<EventId>,
}

/// Scanner that splits the bytes of an event stream into complete events, so that a stream that breaks off within an
/// event can be resumed with the events of another engine. Each byte is searched once.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    /// The number of pending bytes that were searched for the ends of lines.
    searched: usize,
    /// Where the current line begins in the pending bytes.
    line_start: usize,
    /// Whether the current line begins in bytes that were forwarded already.
    is_line_split: bool,
    /// The size of the part of the current event that was forwarded already, in bytes.
    forwarded_bytes: usize,
    /// The first numeric id of the current event.
    id: Option<EventId>,
}

impl EventScanner {
    /// Adds received bytes and returns the events that are complete.
    pub fn push(&mut self, piece: &[u8]) -> ScannedEvents {
        self.pending.extend_from_slice(piece);
        let mut events = ScannedEvents::default();
        let mut end = 0;
        while let Some(offset) =
            self.pending[self.searched..].iter().position(|byte| *byte == b'\n')
        {
            let line_end = self.searched + offset;
            if self.end_line(line_end) {
                events.count += 1;
                events.last_id = self.id.take().or(events.last_id);
                self.forwarded_bytes = 0;
                end = line_end + 1;
            }
            self.searched = line_end + 1;
            self.line_start = line_end + 1;
            self.is_line_split = false;
        }
        self.searched = self.pending.len();
        if end == 0 && self.pending.len() > MAX_PENDING_BYTES {
            end = self.pending.len();
            self.forwarded_bytes += end;
            self.is_line_split |= self.line_start < end;
        }
        self.searched -= end;
        self.line_start = self.line_start.saturating_sub(end);
        events.bytes = self.pending.split_to(end).freeze();
        events
    }

    /// Reads the line that ends at `line_end`. Returns whether it is the blank line that ends an event.
    fn end_line(&mut self, line_end: usize) -> bool {
        let line = &self.pending[self.line_start..line_end];
        if self.is_line_split {
            return false;
        }
        if let Some(value) = line.strip_prefix(b"id:") {
            let value = std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
            self.id = self.id.or(value);
        }
        line.is_empty() || line == b"\r"
    }

    /// Returns whether a part of the current event was forwarded, so that another engine cannot go on after it.
    pub fn has_forwarded_part(&self) -> bool {
        self.forwarded_bytes > 0
    }

    /// Returns whether the current event is larger than an event may be.
    pub fn is_oversized(&self) -> bool {
        self.forwarded_bytes + self.pending.len() > MAX_EVENT_BYTES
    }

    /// Removes and returns the bytes of the incomplete event that were not forwarded.
    pub fn take_pending(&mut self) -> Bytes {
        (self.searched, self.line_start) = (0, 0);
        self.pending.split().freeze()
    }
}
