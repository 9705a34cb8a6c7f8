use bramleywind_types::{InstanceId, WorkspaceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gateways up to which each one draws on the store for itself.
const SMALL_FLEET: usize = 12;

/// The bankers of one budget in a larger fleet: enough that two may fail at once, few enough that their writes seldom
/// conflict.
const BANKERS: usize = 6;

/// Which gateways draw grants of a budget. The others borrow from them.
///
/// In a large fleet each gateway uses little of each budget. If all drew on the store, its calls and their conflicts would
/// grow with the fleet; so a few gateways, which all agree on, draw for the others.
#[derive(Debug, Clone)]
pub struct BankerRule {
    own: InstanceId,
    members: Vec<InstanceId>,
}

impl BankerRule {
    /// The rule of the gateway `own` in a fleet of `members`, itself included.
    pub fn new(own: InstanceId, members: Vec<InstanceId>) -> Self {
        Self { own, members }
    }

    /// The bankers of a budget; all gateways in a small fleet.
    ///
    /// ```
    /// use bramleywind_gateway::funds::BankerRule;
    ///
    /// use bramleywind_types::InstanceId;
    ///
    /// let name = |number| format!("front-{number}").parse::<InstanceId>().unwrap();
    /// let members: Vec<_> = (0..80).map(name).collect();
    /// let one = BankerRule::new(members[0].clone(), members.clone());
    /// let other = BankerRule::new(members[9].clone(), members);
    /// let workspace = "menders".parse().unwrap();
    /// assert_eq!(one.bankers(&workspace).len(), 6);
    /// assert_eq!(one.bankers(&workspace), other.bankers(&workspace));
    /// ```
    pub fn bankers(&self, workspace: &WorkspaceId) -> Vec<&InstanceId> {
        let mut ranked: Vec<_> = self.members.iter().collect();
        if ranked.len() <= SMALL_FLEET {
            return ranked;
        }
        let seed = xxh3_64_with_seed(workspace.as_str().as_bytes(), 0);
        ranked.sort_by_cached_key(|member| xxh3_64_with_seed(member.as_str().as_bytes(), seed));
        ranked.truncate(BANKERS);
        ranked
    }

    /// Whether this gateway draws grants of a budget.
    pub fn is_banker(&self, workspace: &WorkspaceId) -> bool {
        self.bankers(workspace).contains(&&self.own)
    }

    /// How many gateways draw grants of one budget.
    pub fn banker_count(&self) -> usize {
        if self.members.len() <= SMALL_FLEET { self.members.len().max(1) } else { BANKERS }
    }
}
