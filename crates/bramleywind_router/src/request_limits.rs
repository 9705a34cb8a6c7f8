use std::time::Duration;

/// What a caller may send and how long things may take.
///
/// They are arguments of the router rather than constants so that tests can reach them quickly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest header section, in bytes of names and values.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send its request.
    pub read_time: Duration,
    /// How long a request may take in all. A caller's own deadline may only be shorter.
    pub total_time: Duration,
    /// How long a caller may leave a piece of its answer unread.
    pub write_time: Duration,
    /// How long a connection to an endpoint may take.
    pub connect_time: Duration,
    /// How long an endpoint may be silent before its first byte.
    pub first_byte_time: Duration,
    /// How long an endpoint may be silent between two pieces of an answer.
    pub idle_time: Duration,
    /// The largest answer of a plain service, in bytes. Such answers are held in memory until they are
    /// whole, so that a broken one can be retried.
    pub service_answer_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            read_time: Duration::from_secs(10),
            total_time: Duration::from_secs(300),
            write_time: Duration::from_secs(20),
            connect_time: Duration::from_secs(1),
            first_byte_time: Duration::from_secs(60),
            idle_time: Duration::from_secs(20),
            service_answer_bytes: 4 * 1024 * 1024,
        }
    }
}
