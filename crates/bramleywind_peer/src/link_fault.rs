use std::collections::BTreeSet;

use bramleywind_macros::domain_type;
use bramleywind_types::InstanceId;

/// A simulated network fault between this router and some peers, for tests. Everything sent in a cut direction
/// is silently dropped, as in a partition.
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
    /// Peers that receive nothing from this router.
    pub cut_to: BTreeSet<InstanceId>,
    /// Peers from which this router receives nothing.
    pub cut_from: BTreeSet<InstanceId>,
}

impl LinkFault {
    /// Cuts both directions to and from some peers.
    pub fn isolate(peers: impl IntoIterator<Item = InstanceId>) -> Self {
        let peers: BTreeSet<_> = peers.into_iter().collect();
        Self { cut_to: peers.clone(), cut_from: peers }
    }
}
