use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, InstanceId, RequestKey};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A live router that can be a home of a key, that is, can hold the cache entry of the key.
#[domain_type]
pub struct HomeCandidate {
    /// The instance id of the router.
    pub instance: InstanceId,
    /// The data centre of the router.
    pub data_centre: DataCentreId,
}

/// The two homes of a key, in the order in which they are asked.
#[domain_type]
#[derive(Default)]
pub struct HomePair {
    /// The router with the highest weight for the key, or `None` if no router is live.
    pub first: Option<InstanceId>,
    /// The router with the highest weight in another data centre, or else the one with the second highest weight.
    /// `None` if fewer than two routers are live.
    pub second: Option<InstanceId>,
}

/// Chooses the homes of a key by rendezvous hashing, so that adding or removing a router moves only the keys of that
/// router.
///
/// ```
/// use bramleywind_claims::{HomeCandidate, choose_homes};
///
/// let candidates = ["a", "b", "c"].map(|name| HomeCandidate {
///     instance: name.parse().unwrap(),
///     data_centre: if name == "c" { "west" } else { "east" }.parse().unwrap(),
/// });
/// let key = bramleywind_types::RequestKey {
///     workspace: "ferries".parse().unwrap(),
///     key: "k".parse().unwrap(),
/// };
/// let homes = choose_homes(&key, &candidates);
/// let west = Some("c".parse().unwrap());
/// assert!(homes.first == west || homes.second == west);
/// ```
pub fn choose_homes(key: &RequestKey, candidates: &[HomeCandidate]) -> HomePair {
    let seed = key.hash64();
    let weight =
        |candidate: &HomeCandidate| xxh3_64_with_seed(candidate.instance.as_str().as_bytes(), seed);
    let mut ranked: Vec<_> = candidates.iter().collect();
    ranked.sort_by_cached_key(|candidate| {
        (std::cmp::Reverse(weight(candidate)), candidate.instance.clone())
    });
    ranked.dedup_by(|left, right| left.instance == right.instance);
    let Some((first, rest)) = ranked.split_first() else { return HomePair::default() };
    let elsewhere = rest.iter().find(|candidate| candidate.data_centre != first.data_centre);
    let second = elsewhere.or(rest.first());
    HomePair {
        first: Some(first.instance.clone()),
        second: second.map(|candidate| candidate.instance.clone()),
    }
}
