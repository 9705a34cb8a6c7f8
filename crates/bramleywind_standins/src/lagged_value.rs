use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A value whose changes become visible only after a lag, like the platform's reports.
#[derive(Debug)]
pub(crate) struct LaggedValue<T> {
    lag: Duration,
    /// Oldest first and never empty. The first entry is the value that was visible at the last access.
    history: VecDeque<(Instant, T)>,
}

impl<T> LaggedValue<T> {
    pub(crate) fn new(value: T, lag: Duration) -> Self {
        Self { lag, history: VecDeque::from([(Instant::now(), value)]) }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn set(&mut self, value: T) {
        self.prune();
        self.history.push_back((Instant::now(), value));
    }

    /// Returns the value that was current one lag ago.
    pub(crate) fn visible(&mut self) -> Option<&T> {
        self.prune();
        self.history.front().map(|(_, value)| value)
    }

    /// Removes the values that a newer visible value has replaced.
    fn prune(&mut self) {
        let now = Instant::now();
        while self.history.get(1).is_some_and(|(changed_at, _)| now - *changed_at >= self.lag) {
            self.history.pop_front();
        }
    }
}
