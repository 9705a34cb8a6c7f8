use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_types::{EndpointId, InstanceId, WorkspaceId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    MemberRecord, PermitIssuers, RegistryReaders, issuer_candidate::IssuerCandidate,
    issuer_order::IssuerOrder, issuer_tracker::IssuerTracker, lender_order::lender_score,
    serving_set::serving_set, share_count::ShareCount,
};
use crate::witness::WitnessRecord;

/// How long the known members are kept after most of them vanish at once. Leases expire together in an outage of the
/// store, and are taken again within a second of its return.
const MASS_LOSS_DELAY: Duration = Duration::from_millis(2_500);

/// The maximum number of entry addresses in one answer. Callers ignore any further ones.
const MAX_ENTRIES: usize = 64;

/// The largest fleet in which each gateway counts the crashes of every request.
const MAX_FLEET_OF_COUNTERS: usize = 12;

/// The number of gateways that count the crashes of one request in a larger fleet.
const CRASH_COUNTERS: usize = 2;

/// The largest fleet in which each gateway reads the registry from the store itself.
const MAX_FLEET_OF_READERS: usize = 12;

/// The number of gateways in each data centre that read the registry for the others, so that the loss of one leaves another.
const READERS_IN_DATA_CENTRE: usize = 2;

/// The number of gateways that are asked in turn to be the witness of this process.
const MAX_WITNESSES_ASKED: usize = 5;

/// The gateways that callers may connect to.
#[derive(Debug)]
pub struct MemberRegistry {
    own: MemberRecord,
    others: Vec<MemberRecord>,
    shrunk_at: Option<Instant>,
    is_own_leaving: bool,
    /// Whether a list that contains this process was accepted. Until then, nothing is known about the others.
    is_joined: bool,
    /// The instances to which callers are sent.
    serving: BTreeSet<InstanceId>,
    issuer_tracker: IssuerTracker,
    share_count: ShareCount,
}

impl MemberRegistry {
    /// Creates a registry that contains only this process.
    pub fn new(own: MemberRecord) -> Self {
        let serving = BTreeSet::from([own.instance.clone()]);
        Self {
            own,
            others: Vec::new(),
            shrunk_at: None,
            is_own_leaving: false,
            is_joined: false,
            serving,
            issuer_tracker: IssuerTracker::default(),
            share_count: ShareCount::default(),
        }
    }

    /// Returns the record of this process.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Applies the member list read from the store. Returns `false` if the list was not accepted.
    ///
    /// Single members that vanish are removed at once. If more than half of the members vanish together, the list is
    /// accepted only after it has stayed that short for a while.
    pub fn update(&mut self, listed: Vec<MemberRecord>, now: Instant) -> bool {
        let is_joined = listed.iter().any(|member| member.instance == self.own.instance);
        // The record of an earlier process of the instance says nothing about this one.
        let is_own_listed = listed.iter().any(|member| member.incarnation == self.own.incarnation);
        let is_other = |member: &MemberRecord| member.instance != self.own.instance;
        let others: Vec<_> = listed.into_iter().filter(is_other).collect();
        let is_mass_loss = self.others.len() >= 2 && others.len() * 2 < self.others.len();
        if is_mass_loss {
            let shrunk_at = *self.shrunk_at.get_or_insert(now);
            if now < shrunk_at + MASS_LOSS_DELAY {
                return false;
            }
        }
        self.shrunk_at = None;
        self.others = others;
        self.is_joined |= is_joined;
        self.share_count.update(self.others.len() + 1, is_own_listed, now);
        self.update_serving();
        self.issuer_tracker.accept(self.issuer_order(), now);
        true
    }

    /// Marks this process as stopping, so that callers are no longer sent to it.
    pub fn leave(&mut self, now: Instant) {
        self.is_own_leaving = true;
        self.update_serving();
        self.issuer_tracker.replace(self.issuer_order(), now);
    }

    fn update_serving(&mut self) {
        let own = (!self.is_own_leaving).then_some(&self.own);
        self.serving = serving_set(own.into_iter().chain(&self.others));
    }

    /// Returns the gateways that may issue permits, according to the current list.
    fn issuer_order(&self) -> IssuerOrder {
        let candidate = |member: &MemberRecord, peer_address| IssuerCandidate {
            instance: member.instance.clone(),
            is_serving: self.serving.contains(&member.instance),
            peer_address,
        };
        let is_own_listed = self.is_joined && !self.is_own_leaving;
        let own = is_own_listed.then(|| candidate(&self.own, None));
        let others = self.others.iter().map(|other| candidate(other, Some(other.peer_address)));
        IssuerOrder::new(own.into_iter().chain(others).collect())
    }

    /// Returns the gateways that issue permits for requests to an endpoint that limits them.
    pub fn permit_issuers(&self, endpoint: &EndpointId, now: Instant) -> PermitIssuers {
        self.issuer_tracker.permit_issuers(endpoint, now)
    }

    /// Returns the gateways that read the registry of endpoints for the others: in a large fleet the largest ones of each data centre.
    /// Those of the own data centre come first, and the gateways that ask are spread over them.
    pub fn registry_readers(&self) -> RegistryReaders {
        let is_small = self.count() <= MAX_FLEET_OF_READERS;
        let own_centre = &self.own.data_centre;
        let own = &self.own;
        let readers: Vec<_> = if is_small {
            self.others.iter().collect()
        } else {
            let members = self.others.iter().chain((!self.is_own_leaving).then_some(own));
            first_of_each_centre(members.filter(|member| self.serving.contains(&member.instance)))
        };
        let is_own_named = readers.iter().any(|reader| reader.instance == own.instance);
        let seed = xxh3_64(own.instance.as_str().as_bytes());
        let mut others: Vec<_> = readers
            .into_iter()
            .filter(|reader| reader.instance != own.instance)
            .map(|reader| {
                let is_remote = reader.data_centre != *own_centre;
                let spread = xxh3_64_with_seed(reader.instance.as_str().as_bytes(), seed);
                ((is_remote, spread), reader.peer_address)
            })
            .collect();
        others.sort_unstable();
        RegistryReaders {
            // A process that is not listed yet knows too little of the others.
            is_own: is_small || is_own_named || !self.is_joined,
            is_relaying: is_own_named,
            others: others.into_iter().map(|(_, address)| address).collect(),
        }
    }

    /// Returns the other gateways.
    pub fn others(&self) -> &[MemberRecord] {
        &self.others
    }

    /// Reports whether this process is the primary of a workspace's budget: the gateway that all others ask for tokens
    /// first. A process that is not in the member list, or leaves it, is the primary of none.
    pub fn is_primary(&self, workspace: &WorkspaceId) -> bool {
        if !self.is_joined || self.is_own_leaving {
            return false;
        }
        let own = self.lender_rank(workspace, &self.own.instance);
        self.others.iter().all(|other| own < self.lender_rank(workspace, &other.instance))
    }

    /// Returns the place of an instance among those to ask for tokens of a workspace's budget. Serving instances come first.
    fn lender_rank(&self, workspace: &WorkspaceId, instance: &InstanceId) -> (bool, u64) {
        (!self.serving.contains(instance), lender_score(workspace, instance))
    }

    /// Returns the addresses of the first `count` other gateways to ask for tokens of a workspace's budget.
    pub fn lenders(&self, workspace: &WorkspaceId, count: usize) -> Vec<SocketAddr> {
        self.first_others(count, |instance| self.lender_rank(workspace, instance))
    }

    /// Returns the addresses of the other gateways that count the crashes of the request with this hash for the fleet.
    pub fn crash_counters(&self, request_hash: u64) -> Vec<SocketAddr> {
        let count =
            if self.count() <= MAX_FLEET_OF_COUNTERS { self.others.len() } else { CRASH_COUNTERS };
        self.first_others(count, |instance| {
            let score = xxh3_64_with_seed(instance.as_str().as_bytes(), request_hash);
            (!self.serving.contains(instance), score)
        })
    }

    /// Returns the addresses of the first `count` other gateways by rank.
    fn first_others(
        &self,
        count: usize,
        rank: impl Fn(&InstanceId) -> (bool, u64),
    ) -> Vec<SocketAddr> {
        let mut ranked: Vec<_> =
            self.others.iter().map(|other| (rank(&other.instance), other.peer_address)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the gateways to ask in turn to be the witness of this process. Those of other data centres come first, which rarely end
    /// together with this one, and the `witnessed` ones last: two that witness each other are of no use once both have ended.
    pub fn witness_candidates<'a>(
        &self,
        witnessed: impl Iterator<Item = &'a InstanceId>,
    ) -> Vec<WitnessRecord> {
        let witnessed: BTreeSet<_> = witnessed.collect();
        let seed = xxh3_64(self.own.instance.as_str().as_bytes());
        let rank = |member: &MemberRecord| {
            let is_near = member.data_centre == self.own.data_centre;
            let score = xxh3_64_with_seed(member.instance.as_str().as_bytes(), seed);
            let is_witnessed = witnessed.contains(&member.instance);
            (is_witnessed, !self.serving.contains(&member.instance), is_near, score)
        };
        let mut ranked: Vec<_> = self.others.iter().map(|other| (rank(other), other)).collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let candidates = ranked.into_iter().take(MAX_WITNESSES_ASKED);
        let candidates = candidates.map(|(_, member)| WitnessRecord {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            peer_address: member.peer_address,
        });
        candidates.collect()
    }

    /// Returns the addresses at which this gateway reaches the others.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.others.iter().map(|other| other.peer_address).collect()
    }

    /// Returns among how many gateways a limit of the whole fleet is divided, or `None` if this process may not use a share of it yet.
    pub fn share_count(&self) -> Option<usize> {
        self.share_count.get()
    }

    /// Returns the number of live gateways, including this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the addresses to which callers should connect: those of the serving gateways. The list is never empty: a
    /// leaving gateway that knows no other one returns its own address.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let is_alone = self.is_own_leaving && self.others.is_empty();
        let is_named = |member: &&MemberRecord| self.serving.contains(&member.instance) || is_alone;
        let members = std::iter::once(&self.own).chain(&self.others).filter(is_named);
        members.map(|member| member.caller_address).take(MAX_ENTRIES).collect()
    }
}

/// Returns the largest members of each data centre.
fn first_of_each_centre<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
) -> Vec<&'a MemberRecord> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_unstable_by_key(|member| {
        (Reverse(member.capacity), xxh3_64(member.instance.as_str().as_bytes()))
    });
    let mut counts = BTreeMap::new();
    ranked.retain(|member| {
        let count = counts.entry(&member.data_centre).or_insert(0);
        *count += 1;
        *count <= READERS_IN_DATA_CENTRE
    });
    ranked
}
