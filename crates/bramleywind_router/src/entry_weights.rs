//! The traffic weights that entry instances announce.

/// Returns the weight that an entry announces: its capacity less the number of running requests.
///
/// A full entry keeps a twentieth of its capacity as weight, because the load figure is up to one heartbeat
/// old and a weight of zero would move all callers at once.
///
/// ```
/// use bramleywind_router::entry_weight;
///
/// assert_eq!(entry_weight(100, 0), 100);
/// assert_eq!(entry_weight(100, 50), 50);
/// assert_eq!(entry_weight(100, 1_000), 5);
/// ```
pub fn entry_weight(capacity: u32, running: usize) -> u32 {
    let floor = (capacity / 20).max(1);
    let running = u32::try_from(running).unwrap_or(u32::MAX);
    capacity.saturating_sub(running).max(floor)
}
