//! How the gateway updates its list of endpoints, from the store or from another gateway, and answers other gateways about it.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use bramleywind_http::TrafficTotals;
use bramleywind_store::StoreVersion;
use bramleywind_types::{ConfigRevision, EndpointId};
use compio::time::timeout;
use futures_channel::oneshot;
use slog::{info, warn};

use super::Gateway;
use crate::{
    admission::MAX_ACCEPT_DELAY,
    endpoints::{Endpoint, EndpointRecord, EntryEffect},
    platform_api::{EntryChange, FleetStore, Platform},
    registry::{
        ListAnswer, ListDigest, ListGate, ListGateInput, ListPart, ListQuery, MAX_QUERY_WAIT,
        differing_parts, part_of,
    },
};

impl<P: Platform> Gateway<P> {
    /// Returns which endpoints may get requests now, by the age of the list.
    pub fn list_gate(&self, now: Instant) -> ListGate {
        let Some(complete_until) = self.list_freshness.complete_until() else {
            return ListGate::Open;
        };
        let max_age = self.settings.max_list_age;
        if now <= complete_until + max_age {
            return ListGate::Open;
        }
        let delays = self.admission.record_traffic(TrafficTotals::current(), now);
        let input = ListGateInput {
            complete_until,
            store_answered_at: self.store.answered_at(),
            is_link_saturated: delays.longest() > MAX_ACCEPT_DELAY,
            max_age,
        };
        ListGate::decide(&input, now)
    }

    /// Returns whether an endpoint may get a request that was placed on it before.
    pub fn may_send_to(&self, endpoint: &Endpoint, now: Instant) -> bool {
        endpoint.is_open() && self.list_gate(now).admits(endpoint.answered_at())
    }

    /// The version of the registry that the list of endpoints has.
    pub fn list_version(&self) -> Option<StoreVersion> {
        self.list_version.get()
    }

    /// Sets the version of the registry that the list of endpoints has; `None` if the store no longer has its changes.
    pub fn set_list_version(&self, version: Option<StoreVersion>) {
        self.list_version.set(version);
    }

    /// Returns whether the list of endpoints may lack changes that its version covers, because an interrupted watch missed them.
    pub fn may_miss_changes(&self) -> bool {
        self.may_miss_changes.get()
    }

    /// Records whether the list of endpoints may lack changes that its version covers.
    pub fn set_may_miss_changes(&self, may_miss_changes: bool) {
        self.may_miss_changes.set(may_miss_changes);
    }

    /// Returns the question to another gateway how its list of endpoints differs from this one's.
    pub fn list_query(&self, wait: Duration) -> ListQuery {
        ListQuery {
            version: self.list_version.get().unwrap_or(StoreVersion::MISSING),
            config_revision: self.config_revision(),
            digest: self.list_digest(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Answers another gateway's question about the list of endpoints: once the lists or the
    /// configurations differ, this list is confirmed again, or the query's time is over.
    pub async fn answer_list_query(&self, query: &ListQuery) -> ListAnswer {
        let asked_at = Instant::now();
        let confirmed_before = self.list_freshness.complete_until();
        let answer_at = asked_at + MAX_QUERY_WAIT.min(Duration::from_millis(query.wait_ms));
        loop {
            let now = Instant::now();
            let version = self.list_version.get().unwrap_or(StoreVersion::MISSING);
            // A list that is older than the asking gateway's, or lacks changes, has no news for it.
            let is_complete = !self.may_miss_changes.get();
            let parts = if is_complete && version >= query.version {
                self.differing_parts(&query.digest)
            } else {
                Vec::new()
            };
            let has_news = !parts.is_empty() || self.config_revision() > query.config_revision;
            let is_confirmed =
                is_complete && self.list_freshness.complete_until() > confirmed_before;
            if !has_news && !is_confirmed && now < answer_at {
                // A timeout ends the wait, too.
                let _ = timeout(answer_at - now, self.wait_for_list_news()).await;
                continue;
            }
            let millis =
                |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
            return ListAnswer {
                version,
                age_ms: self.list_freshness.age(now).filter(|_| is_complete).map(millis),
                config_revision: self.config_revision(),
                config_age_ms: self.config_freshness.age(now).map(millis),
                waited_ms: millis(now.saturating_duration_since(asked_at)),
                parts,
            };
        }
    }

    /// Applies another gateway's answer to a query of `asked_at`. Returns `false` if that gateway knows less than this one.
    pub fn apply_list_answer(&self, answer: ListAnswer, asked_at: Instant) -> bool {
        let own = self.list_version.get().unwrap_or(StoreVersion::MISSING);
        let Some(age_ms) = answer.age_ms else { return false };
        if answer.version < own {
            return false;
        }
        let made_at = answer.made_at(asked_at);
        for part in answer.parts {
            self.apply_part(part);
        }
        self.list_version.set(Some(answer.version));
        let complete_until = made_at.checked_sub(Duration::from_millis(age_ms));
        if let Some(complete_until) = complete_until {
            self.list_freshness.confirm(complete_until.min(Instant::now()));
        }
        self.announce_list();
        true
    }

    /// Applies the complete list of the registry's entries. Endpoints without an entry are removed, or kept until `grace_until`.
    pub fn apply_list(
        &self,
        entries: Vec<EntryChange>,
        grace_until: Option<Instant>,
        unreadable: &mut HashSet<Option<EndpointId>>,
    ) {
        let mut listed = HashSet::new();
        for entry in entries {
            match &entry {
                EntryChange::Written(record) => {
                    listed.insert(record.id.clone());
                }
                // An invalid entry does not remove the endpoint that it may belong to.
                EntryChange::Unreadable { endpoint: Some(id), .. } => {
                    listed.insert(id.clone());
                }
                EntryChange::Unreadable { endpoint: None, .. } | EntryChange::Removed(_) => {}
            }
            self.apply_change(entry, grace_until, unreadable);
        }
        let missing = self.endpoints.borrow().missing_from(&listed);
        for id in missing {
            self.apply_change(EntryChange::Removed(id), grace_until, unreadable);
        }
    }

    /// Applies a change of the registry. An endpoint whose entry was removed is kept until `grace_until`, if that is given.
    pub fn apply_change(
        &self,
        change: EntryChange,
        grace_until: Option<Instant>,
        unreadable: &mut HashSet<Option<EndpointId>>,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let mut ended = Vec::new();
        match change {
            EntryChange::Written(record) => {
                let (id, address) = (record.id.clone(), record.address);
                let (service, is_leaving) = (record.service.clone(), record.is_leaving);
                let effect = endpoints.insert(record);
                if effect == EntryEffect::Added {
                    // An earlier start under the same name has ended too.
                    ended.push(id.clone());
                    ended.extend(endpoints.others_at(address, &id));
                }
                if effect != EntryEffect::Unchanged {
                    info!(self.log, "endpoint changed"; "endpoint" => %id, "service" => %service,
                        "address" => %address, "is_leaving" => is_leaving, "effect" => ?effect);
                }
            }
            EntryChange::Unreadable { endpoint, reason } => {
                if unreadable.insert(endpoint.clone()) {
                    let endpoint = endpoint.map(|id| id.to_string());
                    warn!(self.log, "registry entry unreadable; it is ignored"; "endpoint" => endpoint,
                        "reason" => &*reason);
                }
            }
            EntryChange::Removed(id) => match grace_until {
                Some(until) => endpoints.mark_missing(&id, until),
                None => {
                    if endpoints.remove(&id) {
                        info!(self.log, "endpoint removed"; "endpoint" => %id);
                        ended.push(id);
                    }
                }
            },
        }
        drop(endpoints);
        for id in ended {
            self.confirm_crashes(&id);
        }
    }

    /// Removes the endpoints whose entries did not come back in time after an outage of the store.
    pub fn remove_expired_endpoints(&self) {
        let removed = self.endpoints.borrow_mut().remove_missing(Instant::now());
        for id in removed {
            info!(self.log, "endpoint removed: its entry did not come back"; "endpoint" => %id);
            self.confirm_crashes(&id);
        }
    }

    /// Sets the metrics that tell the ages of the list of endpoints and of the configuration.
    pub fn update_age_metrics(&self, now: Instant) {
        let millis = |age: Option<Duration>| {
            age.and_then(|age| i64::try_from(age.as_millis()).ok()).unwrap_or(i64::MAX)
        };
        self.metrics.list_age_ms.set(millis(self.list_freshness.age(now)));
        self.metrics.config_age_ms.set(millis(self.config_freshness.age(now)));
    }

    /// Lets the queries of other gateways be answered that wait for news of the list, and updates the metrics.
    pub fn announce_list(&self) {
        let endpoints = self.endpoints.borrow();
        let open = endpoints.iter().filter(|endpoint| endpoint.is_open()).count();
        self.metrics.open_endpoints.set(i64::try_from(open).unwrap_or(i64::MAX));
        drop(endpoints);
        for waiter in self.list_waiters.take() {
            // A query that has ended meanwhile waits no longer.
            let _ = waiter.send(());
        }
    }

    /// Waits until the list of endpoints has changed or was confirmed.
    async fn wait_for_list_news(&self) {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiters = self.list_waiters.borrow_mut();
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(sender);
        }
        // The sender is dropped only with the gateway.
        let _ = receiver.await;
    }

    fn config_revision(&self) -> Option<ConfigRevision> {
        self.table.borrow().as_ref().map(|table| table.revision())
    }

    fn apply_part(&self, part: ListPart<EndpointRecord>) {
        let listed: HashSet<_> = part.records.iter().map(|record| record.id.clone()).collect();
        let known = self.endpoints.borrow().missing_from(&listed);
        let missing = known.into_iter().filter(|id| part_of(id.as_str()) == part.number);
        let mut unreadable = HashSet::new();
        let written = part.records.into_iter().map(EntryChange::Written);
        for change in written.chain(missing.map(EntryChange::Removed)) {
            self.apply_change(change, None, &mut unreadable);
        }
    }

    fn differing_parts(&self, other: &ListDigest) -> Vec<ListPart<EndpointRecord>> {
        if self.list_digest() == *other {
            return Vec::new();
        }
        differing_parts(&self.listed_records(), other)
    }

    fn listed_records(&self) -> Vec<EndpointRecord> {
        self.endpoints.borrow().iter().map(|endpoint| endpoint.record().clone()).collect()
    }

    fn list_digest(&self) -> ListDigest {
        let generation = self.endpoints.borrow().generation();
        let mut cached = self.list_digest.borrow_mut();
        match &*cached {
            Some((cached_generation, digest)) if *cached_generation == generation => digest.clone(),
            _ => {
                let digest = ListDigest::of(self.listed_records().iter());
                *cached = Some((generation, digest.clone()));
                digest
            }
        }
    }
}
