use std::cell::Cell;

use serde::Serialize;

/// What a router's other tasks and operators may know of the order duty.
#[derive(Debug, Default, Clone, Serialize)]
pub struct OrderState {
    /// Whether this router holds the duty.
    pub is_holder: Cell<bool>,
    /// Orders that were missing after the latest round; zero at routers that do not hold the duty.
    pub missing: Cell<usize>,
    /// Live entry instances by the instance list; zero before the first answer.
    pub entries: Cell<usize>,
    /// Whether the duty was given back for a drain.
    pub is_released: Cell<bool>,
}
