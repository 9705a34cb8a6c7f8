use std::time::Duration;

use bramleywind_types::{EntryAddress, EntryList, UnixDeadline};

use crate::{RouterState, entry_weight};

/// How long callers may use an entry list before they fetch it again.
pub const ENTRY_VALIDITY: Duration = Duration::from_secs(5);

/// Returns the live entry instances that are not leaving, including this router unless it is leaving.
pub fn entry_list(state: &RouterState) -> EntryList {
    let identity = &state.identity;
    let own = EntryAddress {
        instance: identity.instance.clone(),
        data_centre: identity.data_centre.clone(),
        address: identity.caller_address,
        weight: entry_weight(identity.capacity, state.running()),
    };
    let is_leaving = state.drain.borrow().is_leaving();
    let peers = state.live_peers().into_iter().map(|record| record.heartbeat);
    let peers = peers.filter(|heartbeat| !heartbeat.status.leaving).map(|heartbeat| EntryAddress {
        instance: heartbeat.instance,
        data_centre: heartbeat.data_centre,
        address: heartbeat.status.caller_address,
        weight: heartbeat.status.weight,
    });
    let mut entries: Vec<_> = (!is_leaving).then_some(own).into_iter().chain(peers).collect();
    entries.sort_by(|left, right| left.instance.cmp(&right.instance));
    EntryList { entries, valid_until_ms: UnixDeadline::after(ENTRY_VALIDITY) }
}
