use bramleywind_types::{InstanceId, WorkspaceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the instances in the order in which they are asked for tokens of a workspace's budget.
///
/// The order is a rendezvous hash: all gateways with the same member list compute the same one, each workspace has
/// another one, and a member that joins or leaves does not change the order of the others.
///
/// ```
/// use bramleywind_gateway::members::lender_order;
/// use bramleywind_types::InstanceId;
///
/// let instances: Vec<InstanceId> = ["front-1", "front-2", "front-3"].map(|name| name.parse().unwrap()).into();
/// let workspace = "menders".parse().unwrap();
/// let order = lender_order(&workspace, instances.iter());
/// let without_first = lender_order(&workspace, instances.iter().filter(|instance| **instance != *order[0]));
/// assert_eq!(without_first, order[1..]);
/// ```
pub fn lender_order<'a>(
    workspace: &WorkspaceId,
    instances: impl Iterator<Item = &'a InstanceId>,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> =
        instances.map(|instance| (lender_score(workspace, instance), instance)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

/// Returns the score of an instance for a workspace. The lowest score comes first.
pub(super) fn lender_score(workspace: &WorkspaceId, instance: &InstanceId) -> u64 {
    let seed = xxh3_64_with_seed(workspace.as_str().as_bytes(), 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
