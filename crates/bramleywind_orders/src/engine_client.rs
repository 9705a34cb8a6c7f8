use std::time::Instant;

use crate::{EngineInventory, EngineOrder, WantedEngine};

/// When an order may be written to the socket, and when its call must have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendWindow {
    /// The order must not be written after this.
    pub latest_write: Instant,
    /// The call ends at this time.
    pub deadline: Instant,
}

/// What a read of an engine's state came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InventoryOutcome {
    /// The engine has this.
    Found(EngineInventory),
    /// It gave no usable answer.
    Unavailable,
}

/// What an order came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Accepted,
    /// The engine has seen a newer fencing token.
    Fenced,
    /// The engine refused it for another reason.
    Refused,
    /// It was not written.
    NotSent,
    /// No answer came; it may be carried out.
    Unknown,
}

/// The calls to engines.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait EngineClient {
    /// Reads an engine's state: `GET /v1/orders`.
    async fn read_inventory(&self, engine: &WantedEngine, deadline: Instant) -> InventoryOutcome;

    /// Sends an order: `POST /v1/orders`. Looks at the window after connecting, as late as it can.
    async fn send_order(
        &self,
        engine: &WantedEngine,
        order: &EngineOrder,
        window: SendWindow,
    ) -> OrderOutcome;
}
