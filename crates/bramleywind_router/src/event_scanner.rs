//! Splits an engine's stream into events without copying or re-encoding them.
//!
//! An event ends with an empty line. Only this boundary and the `event` and `data` lines are interpreted; the
//! bytes of a complete event are passed on unchanged.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. An engine that sends more without an event boundary is treated as
/// failed.
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
    /// The number of bytes at the start of the buffer that are known to contain no boundary.
    searched: usize,
}

impl EventScanner {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event with its final empty line, if there is one.
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

    /// Returns true if the incomplete event is larger than [`MAX_EVENT_BYTES`].
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns true if bytes of an incomplete event are left.
    pub fn has_remainder(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The `event` name and the data of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventFields<'event> {
    /// The name in the `event` line.
    pub name: Option<&'event [u8]>,
    /// The first `data` line. Engines put each JSON value on one line.
    pub data: Option<&'event [u8]>,
}

impl<'event> EventFields<'event> {
    /// Parses the fields of one event.
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

/// Returns the end of the first event in `bytes`. The first `searched` bytes are known to contain no
/// boundary.
fn find_boundary(bytes: &[u8], searched: usize) -> Option<usize> {
    // A boundary may begin up to three bytes before the end of the searched bytes: `\n\r`, then `\n`.
    let mut index = searched.saturating_sub(3);
    while let Some(offset) = bytes[index..].iter().position(|byte| *byte == b'\n') {
        let line_feed = index + offset;
        match bytes.get(line_feed + 1..) {
            Some([b'\n', ..]) => return Some(line_feed + 2),
            Some([b'\r', b'\n', ..]) => return Some(line_feed + 3),
            _ => index = line_feed + 1,
        }
    }
    None
}
