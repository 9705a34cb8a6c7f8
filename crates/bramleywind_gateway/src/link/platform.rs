use super::{FleetStore, WireCodec};

/// A platform that the gateway runs on.
pub trait Platform: 'static {
    /// Its store.
    type Store: FleetStore;
    /// How its callers and endpoints write heads of messages.
    type Wire: WireCodec;
}
