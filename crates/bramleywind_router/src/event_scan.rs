//! Finds the events of an engine's stream without copying or re-encoding them.
//!
//! Events end with an empty line. Only the boundary and the `data` lines matter here; the bytes of a whole
//! event are handed on as they came.

use bytes::{Bytes, BytesMut};

/// The largest event. An engine that sends more without an event boundary is treated as failed.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into server-sent events.
///
/// ```
/// use bramleywind_router::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// scanner.push(b"data: 1\n\nda");
/// assert_eq!(scanner.next_event().as_deref(), Some(&b"data: 1\n\n"[..]));
/// assert_eq!(scanner.next_event(), None);
/// scanner.push(b"ta: 2\n\n");
/// assert_eq!(scanner.next_event().as_deref(), Some(&b"data: 2\n\n"[..]));
/// ```
#[derive(Debug, Default)]
pub struct EventScanner {
    buffer: BytesMut,
    /// How far the buffer was searched without finding a boundary.
    searched: usize,
}

impl EventScanner {
    /// Adds bytes as they were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event with its final empty line, if there is one.
    pub fn next_event(&mut self) -> Option<Bytes> {
        match find_boundary(&self.buffer, self.searched) {
            Some(end) => {
                self.searched = 0;
                Some(self.buffer.split_to(end).freeze())
            }
            None => {
                self.searched = self.buffer.len();
                None
            }
        }
    }

    /// Whether the unfinished event is larger than [`MAX_EVENT_BYTES`].
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_remainder(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The `data` of an event, with the lines joined by line feeds, and its `event` name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventFields<'event> {
    /// The name in the `event` line.
    pub name: Option<&'event [u8]>,
    /// The first `data` line. Engines put each JSON value on one line.
    pub data: Option<&'event [u8]>,
}

impl<'event> EventFields<'event> {
    /// Reads the fields of one event.
    ///
    /// ```
    /// use bramleywind_router::EventFields;
    ///
    /// let fields = EventFields::of(b"event: error\r\ndata: {}\r\n\r\n");
    /// assert_eq!(fields.name, Some(&b"error"[..]));
    /// assert_eq!(fields.data, Some(&b"{}"[..]));
    /// ```
    pub fn of(event: &'event [u8]) -> Self {
        let mut fields = Self { name: None, data: None };
        for line in event.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = line.strip_prefix(b"data:") {
                fields.data.get_or_insert(value.strip_prefix(b" ").unwrap_or(value));
            } else if let Some(value) = line.strip_prefix(b"event:") {
                fields.name.get_or_insert(value.strip_prefix(b" ").unwrap_or(value));
            }
        }
        fields
    }
}

/// Where the first event in `bytes` ends. The first `searched` bytes are known to hold no boundary.
fn find_boundary(bytes: &[u8], searched: usize) -> Option<usize> {
    // A boundary may begin up to three bytes before the end of what was searched: `\n\r` then `\n`.
    let mut index = searched.saturating_sub(3);
    while let Some(offset) = bytes[index..].iter().position(|byte| *byte == b'\n') {
        let feed = index + offset;
        match bytes.get(feed + 1..) {
            Some([b'\n', ..]) => return Some(feed + 2),
            Some([b'\r', b'\n', ..]) => return Some(feed + 3),
            _ => index = feed + 1,
        }
    }
    None
}
