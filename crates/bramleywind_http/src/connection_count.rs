use std::{cell::Cell, rc::Rc};

/// The number of open connections of a port.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Rc<Cell<usize>>);

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct CountedConnection(ConnectionCount);

impl ConnectionCount {
    /// Returns the number of open connections.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    pub(crate) fn begin_connection(&self) -> CountedConnection {
        self.0.set(self.0.get() + 1);
        CountedConnection(self.clone())
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}
