use std::cell::Cell;

use serde::Serialize;

/// The state of the task that sends orders to engines, shared with other tasks and shown to operators.
#[derive(Debug, Default, Clone, Serialize)]
pub struct OrderState {
    /// Whether this router holds the order lease.
    pub is_holder: Cell<bool>,
    /// The number of missing orders after the latest round; zero unless this router holds the lease.
    pub missing: Cell<usize>,
    /// The number of live entry instances in the instance list; zero until the list is first read.
    pub entries: Cell<usize>,
    /// Whether the lease was released because of a drain.
    pub is_released: Cell<bool>,
}
