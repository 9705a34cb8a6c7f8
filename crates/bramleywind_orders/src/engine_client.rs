use std::time::Instant;

use crate::{EngineInventory, EngineOrder, WantedEngine};

/// The time limits for writing an order to the socket and for the whole call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendWindow {
    /// The latest time at which the order may be written.
    pub latest_write: Instant,
    /// The time at which the call is cancelled.
    pub deadline: Instant,
}

/// The outcome of reading an engine's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InventoryOutcome {
    /// The engine reported its state.
    Found(EngineInventory),
    /// The engine gave no usable answer.
    Unavailable,
}

/// The outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because it has seen a newer fencing token.
    Fenced,
    /// The engine refused the order for another reason.
    Refused,
    /// The order was not written to the socket.
    NotSent,
    /// No answer arrived. The engine may still execute the order.
    Unknown,
}

/// The client through which the dispatcher reads engines and sends orders.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait EngineClient {
    /// Reads an engine's state with `GET /v1/orders`.
    async fn read_inventory(&self, engine: &WantedEngine, deadline: Instant) -> InventoryOutcome;

    /// Sends an order with `POST /v1/orders`. Implementations check `window.latest_write` after connecting, as
    /// late as possible before the write.
    async fn send_order(
        &self,
        engine: &WantedEngine,
        order: &EngineOrder,
        window: SendWindow,
    ) -> OrderOutcome;
}
