use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Instant,
};

use bramleywind_types::{EndpointId, ServiceId};

use super::{Endpoint, EndpointRecord};

/// What an entry of the registry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryEffect {
    /// A new endpoint, or a new start under a known name.
    Added,
    /// The endpoint takes no new work from now on.
    Leaving,
    /// Nothing that matters for requests.
    Unchanged,
}

/// All endpoints that may get work.
#[derive(Debug, Default)]
pub struct EndpointSet {
    endpoints: BTreeMap<EndpointId, Rc<Endpoint>>,
    /// Entries that vanished while the store was away, with the time until which they are still believed.
    doubted: BTreeMap<EndpointId, Instant>,
}

impl EndpointSet {
    /// Takes an entry as it was written.
    pub fn insert(&mut self, record: EndpointRecord) -> EntryEffect {
        self.doubted.remove(&record.id);
        let Some(known) = self.endpoints.get(&record.id) else {
            return self.add(record);
        };
        let (same_start, was_leaving) = {
            let old = known.record();
            let same_start = old.started_at_ms == record.started_at_ms
                && old.address == record.address
                && old.service == record.service;
            (same_start, old.is_leaving)
        };
        if !same_start {
            known.remove();
            return self.add(record);
        }
        let is_leaving = record.is_leaving;
        known.update(record);
        if is_leaving && !was_leaving { EntryEffect::Leaving } else { EntryEffect::Unchanged }
    }

    fn add(&mut self, record: EndpointRecord) -> EntryEffect {
        let id = record.id.clone();
        self.endpoints.insert(id, Rc::new(Endpoint::new(record)));
        EntryEffect::Added
    }

    /// Drops an endpoint. False if it was not known.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        self.doubted.remove(id);
        let removed = self.endpoints.remove(id);
        if let Some(endpoint) = &removed {
            endpoint.remove();
        }
        removed.is_some()
    }

    /// Goes on with an endpoint whose entry has vanished, unless it is still missing at `until`.
    pub fn doubt(&mut self, id: &EndpointId, until: Instant) {
        if self.endpoints.contains_key(id) {
            self.doubted.entry(id.clone()).or_insert(until);
        }
    }

    /// Drops the endpoints whose entries did not come back in time. Returns their names.
    pub fn drop_doubted(&mut self, now: Instant) -> Vec<EndpointId> {
        let expired = self.doubted.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// When the next doubted endpoint has to be dropped.
    pub fn next_doubt_end(&self) -> Option<Instant> {
        self.doubted.values().min().copied()
    }

    /// The names of endpoints that `listed` lacks.
    pub fn missing_from(&self, listed: &HashSet<EndpointId>) -> Vec<EndpointId> {
        self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect()
    }

    /// The endpoints of a service that take new work, by name.
    pub fn open_endpoints<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Rc<Endpoint>> {
        self.endpoints
            .values()
            .filter(move |endpoint| endpoint.is_open() && endpoint.record().service == *service)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }
}
