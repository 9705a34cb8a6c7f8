use bytes::{Bytes, BytesMut};

use crate::platform_api::EventId;

/// The most bytes of an event that has not ended. Larger ones pass on in pieces and can't be resumed after.
const MOST_PENDING_BYTES: usize = 64 * 1024;

/// Whole events that have arrived, as they were sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScannedEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many they are.
    pub count: u64,
    /// The number of the last one, if it has one.
    pub last_id: Option<EventId>,
}

/// Cuts the bytes of an event stream into whole events, so that a stream that breaks in the middle of an event can
/// go on with another engine's events.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
}

impl EventScanner {
    /// Adds bytes that arrived, and returns the events that have ended.
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
        if end == 0 && self.pending.len() > MOST_PENDING_BYTES {
            end = self.pending.len();
        }
        events.bytes = self.pending.split_to(end).freeze();
        events
    }

    /// The bytes of an event that has not ended.
    pub fn take_pending(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// The length of the first event with the blank line that ends it.
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

fn event_id(event: &[u8]) -> Option<EventId> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
