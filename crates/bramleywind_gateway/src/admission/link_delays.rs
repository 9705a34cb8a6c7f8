use std::time::Duration;

/// How long a byte waits for the link, in each direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkDelays {
    /// The delay of received bytes.
    pub received: Duration,
    /// The delay of sent bytes.
    pub sent: Duration,
}

impl LinkDelays {
    /// Returns the delay of the slower direction.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bramleywind_gateway::admission::LinkDelays;
    ///
    /// let delays = LinkDelays { received: Duration::ZERO, sent: Duration::from_millis(30) };
    /// assert_eq!(delays.longest(), Duration::from_millis(30));
    /// ```
    pub fn longest(self) -> Duration {
        self.received.max(self.sent)
    }
}
