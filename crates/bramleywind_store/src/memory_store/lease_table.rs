use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_types::FencingToken;

use crate::{Lease, StoreKey};

/// The leases of a store. An expired lease can be acquired by the next holder.
#[derive(Debug, Default)]
pub(super) struct LeaseTable {
    slots: BTreeMap<StoreKey, LeaseSlot>,
    last_lease_id: u64,
}

#[derive(Debug, Default)]
struct LeaseSlot {
    fencing: FencingToken,
    current: Option<HeldLease>,
}

#[derive(Debug)]
struct HeldLease {
    id: Box<str>,
    deadline: Instant,
}

impl LeaseTable {
    /// Acquires the lease of a key. Returns `None` while a lease of the key is held, even by the same holder: two
    /// processes with the same holder name must not both consider themselves the holder.
    pub(super) fn acquire(&mut self, key: &StoreKey, time_to_live: Duration) -> Option<Lease> {
        let now = Instant::now();
        let slot = self.slots.entry(key.clone()).or_default();
        if slot.current.as_ref().is_some_and(|held| held.deadline > now) {
            return None;
        }
        self.last_lease_id += 1;
        slot.fencing = FencingToken(slot.fencing.0 + 1);
        let id: Box<str> = format!("lease-{}", self.last_lease_id).into();
        let deadline = now + time_to_live;
        slot.current = Some(HeldLease { id: id.clone(), deadline });
        Some(Lease { id, fencing: slot.fencing, deadline })
    }

    /// Extends a lease and returns its new deadline, or `None` if the lease has ended.
    pub(super) fn renew(&mut self, id: &str, time_to_live: Duration) -> Option<Instant> {
        let now = Instant::now();
        let held = self.slots.values_mut().find_map(|slot| {
            slot.current.as_mut().filter(|held| &*held.id == id && held.deadline > now)
        })?;
        held.deadline = now + time_to_live;
        Some(held.deadline)
    }

    /// Ends the lease with this id, if it is held.
    pub(super) fn release(&mut self, id: &str) {
        for slot in self.slots.values_mut() {
            slot.current.take_if(|held| &*held.id == id);
        }
    }
}
