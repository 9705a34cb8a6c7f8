use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use bramleywind_types::{EndpointId, ServiceId};

use super::{Endpoint, EndpointRecord};

/// How a registry entry changed the set of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryEffect {
    /// A new endpoint was added, or a known one was replaced by a new start under the same name.
    Added,
    /// The endpoint accepts no new requests from now on.
    Leaving,
    /// Nothing changed that affects requests.
    Unchanged,
}

/// Holds all known endpoints by name.
#[derive(Debug, Default)]
pub struct EndpointSet {
    endpoints: BTreeMap<EndpointId, Rc<Endpoint>>,
    /// Endpoints whose entries disappeared while the store was unavailable, with the time until which they stay in use.
    missing: BTreeMap<EndpointId, Instant>,
    /// The number of changes of the registry entries so far.
    generation: u64,
}

impl EndpointSet {
    /// Adds or updates an endpoint from its registry entry. An entry with another start time, address or service
    /// replaces the endpoint and its observations.
    pub fn insert(&mut self, record: EndpointRecord) -> EntryEffect {
        self.missing.remove(&record.id);
        let Some(known) = self.endpoints.get(&record.id) else {
            return self.add(record);
        };
        let (is_same_start, was_leaving) = {
            let old = known.record();
            if *old == record {
                return EntryEffect::Unchanged;
            }
            let is_same_start = old.started_at_ms == record.started_at_ms
                && old.address == record.address
                && old.service == record.service;
            (is_same_start, old.is_leaving)
        };
        if !is_same_start {
            known.mark_removed();
            return self.add(record);
        }
        let is_leaving = record.is_leaving;
        known.update(record);
        self.generation += 1;
        if is_leaving && !was_leaving { EntryEffect::Leaving } else { EntryEffect::Unchanged }
    }

    fn add(&mut self, record: EndpointRecord) -> EntryEffect {
        let id = record.id.clone();
        self.generation += 1;
        self.endpoints.insert(id, Rc::new(Endpoint::new(record)));
        EntryEffect::Added
    }

    /// Removes an endpoint. Returns whether it was known.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        self.missing.remove(id);
        let removed = self.endpoints.remove(id);
        if let Some(endpoint) = &removed {
            endpoint.mark_removed();
            self.generation += 1;
        }
        removed.is_some()
    }

    /// Marks an endpoint whose entry has disappeared. It stays in use until `until` and is then removed, unless its
    /// entry comes back.
    pub fn mark_missing(&mut self, id: &EndpointId, until: Instant) {
        if self.endpoints.contains_key(id) {
            self.missing.entry(id.clone()).or_insert(until);
        }
    }

    /// Removes the endpoints whose entries did not come back in time, and returns their names.
    pub fn remove_missing(&mut self, now: Instant) -> Vec<EndpointId> {
        let expired = self.missing.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Time at which the next missing endpoint has to be removed.
    pub fn next_removal_time(&self) -> Option<Instant> {
        self.missing.values().min().copied()
    }

    /// Returns the names of known endpoints that are not in `listed`.
    pub fn missing_from(&self, listed: &HashSet<EndpointId>) -> Vec<EndpointId> {
        self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect()
    }

    /// Returns the endpoints of a service that accept new requests, in order of their names.
    pub fn open_endpoints<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Rc<Endpoint>> {
        self.endpoints
            .values()
            .filter(move |endpoint| endpoint.is_open() && endpoint.record().service == *service)
    }

    /// Returns the names of the other endpoints that were registered at an address. They have ended if another one starts
    /// there.
    pub fn others_at(&self, address: SocketAddr, id: &EndpointId) -> Vec<EndpointId> {
        let is_other = |endpoint: &&Rc<Endpoint>| {
            let record = endpoint.record();
            record.address == address && record.id != *id
        };
        self.iter().filter(is_other).map(|endpoint| endpoint.record().id.clone()).collect()
    }

    /// Returns a number that changes with each change of the registry entries.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the endpoint with a name.
    pub fn get(&self, id: &EndpointId) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Iterates over all endpoints in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }
}
