use bytes::{Bytes, BytesMut};

use crate::platform_api::EventId;

/// Maximum size of a buffered incomplete event, in bytes. Larger events are forwarded in pieces, and the stream cannot
/// be resumed after such a piece.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Holds the complete events found in received bytes, unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScannedEvents {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The number of events.
    pub count: u64,
    /// The last id among the events, if any of them has one.
    pub last_id: Option<EventId>,
}

/// Scanner that splits the bytes of an event stream into complete events, so that a stream that breaks off within an
/// event can be resumed with the events of another engine.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
}

impl EventScanner {
    /// Adds received bytes and returns the events that are complete.
    pub fn push(&mut self, piece: &[u8]) -> ScannedEvents {
        self.pending.extend_from_slice(piece);
        let mut events = ScannedEvents::default();
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            let event = &self.pending[end..end + length];
            events.count += 1;
            events.last_id = event_id(event).or(events.last_id);
            end += length;
        }
        if end == 0 && self.pending.len() > MAX_PENDING_BYTES {
            end = self.pending.len();
        }
        events.bytes = self.pending.split_to(end).freeze();
        events
    }

    /// Removes and returns the bytes of the incomplete event, if there is one.
    pub fn take_pending(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Returns the length of the first complete event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        let is_blank = line.is_empty() || line == b"\r";
        if is_blank {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Parses the numeric id of an event, from the first `id:` line that holds a number.
fn event_id(event: &[u8]) -> Option<EventId> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
