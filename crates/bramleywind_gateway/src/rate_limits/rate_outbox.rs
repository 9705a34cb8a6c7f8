use std::collections::BTreeSet;

use bramleywind_types::EndpointId;

/// The endpoints about whose rates other gateways are still to be told.
#[derive(Debug, Default)]
pub struct RateOutbox {
    /// For the gateways that issue the permits.
    pub for_issuers: BTreeSet<EndpointId>,
    /// For all gateways.
    pub for_everyone: BTreeSet<EndpointId>,
}
