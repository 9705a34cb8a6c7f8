use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A value that becomes visible only some time after it was set, as the platform's reports do.
#[derive(Debug)]
pub(crate) struct LaggedValue<T> {
    lag: Duration,
    /// Oldest first, never empty. The first is the one that was visible at the last look.
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

    /// The value that was the latest one a lag ago.
    pub(crate) fn visible(&mut self) -> Option<&T> {
        self.prune();
        self.history.front().map(|(_, value)| value)
    }

    fn prune(&mut self) {
        let now = Instant::now();
        while self.history.get(1).is_some_and(|(changed_at, _)| now - *changed_at >= self.lag) {
            self.history.pop_front();
        }
    }
}
