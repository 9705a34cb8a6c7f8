use bramleywind_macros::domain_type;

use super::{LinkRate, MemorySize};

/// Memory that the process needs regardless of its load, in bytes.
const BASE_BYTES: u64 = 24_000_000;

/// Memory of an open request, in bytes: the connections to its caller and to its endpoint, its body, and the pieces of the
/// response that wait.
const REQUEST_BYTES: u64 = 128_000;

/// Memory of a caller's idle connection, in bytes.
const CONNECTION_BYTES: u64 = 32_000;

/// The fraction of the memory that callers' idle connections may take.
const CONNECTION_SHARE: f64 = 0.25;

/// The fraction of the memory that the bodies of requests and responses may take together. Most are a few kilobytes, which
/// [`REQUEST_BYTES`] covers.
const BODY_SHARE: f64 = 0.1;

/// The memory for bodies of an instance whose memory is not limited, in bytes.
const UNLIMITED_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The number of requests and connections that even the smallest instance takes on.
const MIN_COUNT: usize = 16;

/// What an instance has for its requests. A value that is missing does not limit it.
#[domain_type]
#[derive(Copy, Default)]
pub struct InstanceLimits {
    /// The memory at which the process is ended.
    pub memory: Option<MemorySize>,
    /// The rate of the instance's link, in each direction.
    pub link: Option<LinkRate>,
}

impl InstanceLimits {
    /// Returns how many requests may be open at once.
    ///
    /// ```
    /// use bramleywind_gateway::admission::{InstanceLimits, MemorySize};
    ///
    /// let memory = Some(MemorySize::from_megabytes(110.0));
    /// assert_eq!(InstanceLimits { memory, link: None }.max_requests(), 457);
    /// assert_eq!(InstanceLimits::default().max_requests(), usize::MAX);
    /// ```
    pub fn max_requests(self) -> usize {
        let Some(MemorySize(bytes)) = self.memory else { return usize::MAX };
        let connections = (bytes as f64 * CONNECTION_SHARE) as u64;
        to_count(bytes.saturating_sub(BASE_BYTES + connections) / REQUEST_BYTES)
    }

    /// Returns how many bytes the bodies of all requests and responses may take together.
    ///
    /// ```
    /// use bramleywind_gateway::admission::{InstanceLimits, MemorySize};
    ///
    /// let memory = Some(MemorySize::from_megabytes(110.0));
    /// assert_eq!(InstanceLimits { memory, link: None }.max_body_bytes(), 11_000_000);
    /// ```
    pub fn max_body_bytes(self) -> usize {
        let Some(MemorySize(bytes)) = self.memory else { return UNLIMITED_BODY_BYTES };
        usize::try_from((bytes as f64 * BODY_SHARE) as u64).unwrap_or(usize::MAX)
    }

    /// Returns how many connections of callers are kept open for further requests.
    pub fn max_kept_connections(self) -> usize {
        let Some(MemorySize(bytes)) = self.memory else { return usize::MAX };
        to_count((bytes as f64 * CONNECTION_SHARE) as u64 / CONNECTION_BYTES)
    }
}

fn to_count(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX).max(MIN_COUNT)
}
