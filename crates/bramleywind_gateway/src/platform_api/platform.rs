use super::{FleetStore, WireCodec};

/// A platform that the gateway runs on.
pub trait Platform: 'static {
    /// The store of the platform.
    type Store: FleetStore;
    /// The codec for heads of messages of callers and endpoints.
    type Wire: WireCodec;
}
