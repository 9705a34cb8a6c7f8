use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use bramleywind_types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

use super::MemberRecord;

/// The number of members up to which all of them serve. It leaves enough of them if half are lost at once.
const MIN_SERVING: usize = 12;

/// The number of serving members in each data centre that has as many, so that the loss of one leaves another.
const MIN_IN_DATA_CENTRE: usize = 2;

/// The fraction of the fleet's processor capacity that the serving members have at least.
const MIN_CAPACITY_SHARE: f64 = 0.25;

/// Returns the instances to which callers are sent.
///
/// A large fleet serves from its largest instances, so that each of them sees enough requests to keep connections open, to
/// know where prompts are cached, and to hold tokens of the budgets. The others serve callers that connect to them anyway.
/// All gateways with the same member list compute the same set, and a member that joins or leaves changes few places in it.
pub(super) fn serving_set<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
) -> BTreeSet<InstanceId> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_unstable_by_key(|member| {
        (Reverse(member.capacity), xxh3_64(member.instance.as_str().as_bytes()))
    });
    let total: f64 = ranked.iter().map(|member| f64::from(member.capacity.0)).sum();
    let mut chosen = BTreeSet::new();
    let mut in_data_centre = BTreeMap::new();
    let mut capacity = 0.0;
    for member in &ranked {
        let in_centre = in_data_centre.entry(&member.data_centre).or_insert(0);
        let is_needed = chosen.len() < MIN_SERVING
            || capacity < total * MIN_CAPACITY_SHARE
            || *in_centre < MIN_IN_DATA_CENTRE;
        if is_needed {
            *in_centre += 1;
            capacity += f64::from(member.capacity.0);
            chosen.insert(member.instance.clone());
        }
    }
    chosen
}
