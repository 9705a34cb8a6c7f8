use std::collections::BTreeSet;

use bramleywind_macros::domain_type;
use bramleywind_types::InstanceId;

/// A fault of the network between this router and some peers, for tests: everything on a cut direction is
/// dropped without a word, as by a partition.
///
/// ```
/// use bramleywind_peer::LinkFault;
///
/// let peer = "akl-b-1".parse().unwrap();
/// let fault = LinkFault::isolate([peer]);
/// assert_eq!(fault.cut_to, fault.cut_from);
/// ```
#[domain_type]
#[derive(Default)]
pub struct LinkFault {
    /// Nothing that this router sends reaches these peers.
    pub cut_to: BTreeSet<InstanceId>,
    /// Nothing that these peers send reaches this router.
    pub cut_from: BTreeSet<InstanceId>,
}

impl LinkFault {
    /// Cuts both directions to and from some peers.
    pub fn isolate(peers: impl IntoIterator<Item = InstanceId>) -> Self {
        let peers: BTreeSet<_> = peers.into_iter().collect();
        Self { cut_to: peers.clone(), cut_from: peers }
    }
}
