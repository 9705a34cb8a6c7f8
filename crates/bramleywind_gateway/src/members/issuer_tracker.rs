use std::time::{Duration, Instant};

use bramleywind_types::EndpointId;

use super::{PermitIssuers, issuer_candidate::IssuerCandidate, issuer_order::IssuerOrder};
use crate::rate_limits::IssuerRole;

/// How long the member lists of gateways may differ after a change: the interval at which they read the list, and a slow
/// answer of the store.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// The gateways that issue permits, by the current member list and by the one before its latest changes.
///
/// Gateways that go by different member lists may each take themselves for the issuer of an endpoint's permits. So this process
/// has a role only if it had it by the earlier list as well, and issues all permits only if it is the issuer by a list that is and was
/// current.
#[derive(Debug, Default)]
pub(super) struct IssuerTracker {
    current: IssuerOrder,
    /// The last order that had settled, by which other gateways may still go.
    earlier: IssuerOrder,
    changed_at: Option<Instant>,
    /// When a list was last accepted.
    accepted_at: Option<Instant>,
    /// When a list was accepted after a long time without one.
    caught_up_at: Option<Instant>,
}

impl IssuerTracker {
    /// Applies the order that follows from a member list that was accepted at `now`.
    pub(super) fn accept(&mut self, order: IssuerOrder, now: Instant) {
        if !self.is_up_to_date(now) {
            self.caught_up_at = Some(now);
        }
        self.replace(order, now);
        self.accepted_at = Some(now);
    }

    /// Replaces the current order.
    pub(super) fn replace(&mut self, order: IssuerOrder, now: Instant) {
        if order == self.current {
            return;
        }
        let is_settled = !self.is_settling();
        let before = std::mem::replace(&mut self.current, order);
        if is_settled {
            self.earlier = before;
        }
        self.changed_at = Some(now);
    }

    /// Returns whether other gateways may still go by an earlier order: until lists have shown no change for a while. Without
    /// lists, that stays open.
    fn is_settling(&self) -> bool {
        let settled_at = self.changed_at.map(|changed_at| changed_at + SETTLING_TIME);
        settled_at.is_some_and(|settled_at| self.accepted_at < Some(settled_at))
    }

    /// Returns whether a list was accepted within the last seconds.
    fn is_up_to_date(&self, now: Instant) -> bool {
        self.accepted_at.is_some_and(|accepted_at| now < accepted_at + SETTLING_TIME)
    }

    /// Returns the gateways that issue permits for requests to an endpoint.
    pub(super) fn permit_issuers(&self, endpoint: &EndpointId, now: Instant) -> PermitIssuers {
        let (first, second) = self.current.first_two(endpoint);
        let is_own_first = first.is_some_and(IssuerCandidate::is_own);
        let own_role = self
            .current
            .own_role(endpoint)
            .min(self.earlier_role(endpoint, now))
            .min(self.highest_role(now));
        let asked = [first, second].into_iter().flatten().take_while(|_| !is_own_first);
        let others = asked.filter_map(|other| other.peer_address).collect();
        PermitIssuers { own_role, is_own_first, others }
    }

    /// Returns the role that this process may have by the earlier order. A process that has known no settled order since its start
    /// does not wait for lists that never come.
    fn earlier_role(&self, endpoint: &EndpointId, now: Instant) -> IssuerRole {
        if !self.is_settling() {
            return IssuerRole::Issuer;
        }
        let has_waited = self.changed_at.is_none_or(|at| now >= at + SETTLING_TIME);
        match self.earlier.is_empty() && has_waited {
            true => IssuerRole::Substitute,
            false => self.earlier.own_role(endpoint),
        }
    }

    /// Returns the role that this process may have by the age of its knowledge: another gateway may have become the issuer without
    /// its notice.
    fn highest_role(&self, now: Instant) -> IssuerRole {
        let has_caught_up = self.caught_up_at.is_none_or(|at| now >= at + SETTLING_TIME);
        match self.is_up_to_date(now) && has_caught_up {
            true => IssuerRole::Issuer,
            false => IssuerRole::Substitute,
        }
    }
}
