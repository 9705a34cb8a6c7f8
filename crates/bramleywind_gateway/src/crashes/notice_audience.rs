use bramleywind_macros::domain_type;

/// The gateways that a notice is meant for.
#[domain_type]
#[derive(Copy)]
pub enum NoticeAudience {
    /// The gateways that count the crashes of the request for the fleet.
    Counters,
    /// All gateways, which refuse the request from now on, or no longer.
    Everyone,
}
