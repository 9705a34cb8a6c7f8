use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// The memory that all buffered bodies of a process share, in bytes. Clones share it.
///
/// A body may become as large as what is left for all others, so many large bodies together leave room for small ones,
/// and the largest single body is half of the memory.
///
/// ```
/// use bramleywind_http::BodyMemory;
///
/// let memory = BodyMemory::new(1_000);
/// let mut large = memory.hold();
/// assert!(large.resize(500));
/// assert!(!large.resize(501));
/// let mut small = memory.hold();
/// assert!(small.resize(250));
/// assert!(!small.resize(300));
/// drop(large);
/// assert!(small.resize(300));
/// ```
#[derive(Debug, Clone)]
pub struct BodyMemory {
    limit: usize,
    /// Atomic because the buffers of bodies must be `Send`. Only one thread uses them.
    held: Arc<AtomicUsize>,
}

/// The part of a [`BodyMemory`] that one body takes, which is free again when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: BodyMemory,
    size: usize,
}

/// A body together with the memory that it takes.
struct HeldBody {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates a memory of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, held: Arc::default() }
    }

    /// Begins a body, which is empty.
    pub fn hold(&self) -> HeldBytes {
        HeldBytes { memory: self.clone(), size: 0 }
    }
}

impl HeldBytes {
    /// Changes the size of the body to `size` bytes. Returns `false`, and changes nothing, if the memory is too full for
    /// that.
    #[must_use]
    pub fn resize(&mut self, size: usize) -> bool {
        let others = self.memory.held.load(Ordering::Relaxed) - self.size;
        let left = self.memory.limit.saturating_sub(others + size);
        if size > self.size && size > left {
            return false;
        }
        self.memory.held.store(others + size, Ordering::Relaxed);
        self.size = size;
        true
    }

    /// Returns the bytes of the body, which take the memory until their last clone is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBody { bytes, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.size, Ordering::Relaxed);
    }
}
