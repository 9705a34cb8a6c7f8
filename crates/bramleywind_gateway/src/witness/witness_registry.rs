use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bramleywind_types::{IncarnationId, InstanceId};

use super::{SpendCeilings, WitnessClaim, WitnessReply, WitnessRequest};

/// How long a holder may be silent before its tokens are returned. It is several times the interval at which holders show that they
/// are alive. A live holder that is taken for an ended one loses no more than its grants.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// The most holders that one process witnesses. There are no more in a fleet.
const MAX_HOLDERS: usize = 1_024;

/// The most holders whose requests are refused for good. Each takes some tens of bytes.
const MAX_CLOSED: usize = 65_536;

/// The ceilings of each holder of grants that named this process as its witness.
#[derive(Debug, Default)]
pub struct WitnessRegistry {
    holders: BTreeMap<IncarnationId, WitnessedHolder>,
    /// The holders whose ceilings are not raised any more. They are kept until this process ends, since a holder that was cut off may
    /// ask at any time.
    closed: BTreeSet<IncarnationId>,
}

/// A holder of grants that has been silent for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentHolder {
    /// The incarnation of the holder.
    pub incarnation: IncarnationId,
    /// The tokens that it can have spent at most.
    pub ceilings: SpendCeilings,
}

#[derive(Debug)]
struct WitnessedHolder {
    instance: InstanceId,
    heard_at: Instant,
    ceilings: SpendCeilings,
}

impl WitnessRegistry {
    /// Answers a holder, or its successor. Ceilings only grow, so messages that overtake each other do no harm.
    ///
    /// ```
    /// use std::{collections::BTreeMap, time::Instant};
    /// use bramleywind_gateway::witness::{WitnessClaim, WitnessRegistry, WitnessReply, WitnessRequest};
    /// use bramleywind_types::{IncarnationId, TokenCount};
    ///
    /// let mut registry = WitnessRegistry::default();
    /// let ceilings = BTreeMap::from([("menders".parse().unwrap(), TokenCount(500))]);
    /// let mut request = WitnessRequest {
    ///     witness: IncarnationId::from_number(2),
    ///     instance: "front-1".parse().unwrap(),
    ///     holder: IncarnationId::from_number(1),
    ///     claim: WitnessClaim::Begin(ceilings.clone()),
    /// };
    /// let now = Instant::now();
    /// assert_eq!(registry.answer(&request, now), WitnessReply::Confirmed);
    /// request.claim = WitnessClaim::Ended;
    /// assert_eq!(registry.answer(&request, now), WitnessReply::Closed(ceilings.clone()));
    /// request.claim = WitnessClaim::Raise(ceilings);
    /// assert_eq!(registry.answer(&request, now), WitnessReply::Refused);
    /// ```
    pub fn answer(&mut self, request: &WitnessRequest, now: Instant) -> WitnessReply {
        let is_closed = self.closed.contains(&request.holder) || self.closed.len() >= MAX_CLOSED;
        let is_full = self.holders.len() >= MAX_HOLDERS;
        let known = self.holders.get_mut(&request.holder);
        match (&request.claim, known) {
            (WitnessClaim::Ended, Some(holder)) => {
                self.closed.insert(request.holder);
                // The successor returns the tokens, so the witness waits again before it does.
                holder.heard_at = now;
                WitnessReply::Closed(holder.ceilings.clone())
            }
            (WitnessClaim::Begin(ceilings), None) if !is_closed && !is_full => {
                let (instance, ceilings) = (request.instance.clone(), ceilings.clone());
                let holder = WitnessedHolder { instance, heard_at: now, ceilings };
                self.holders.insert(request.holder, holder);
                WitnessReply::Confirmed
            }
            (WitnessClaim::Begin(ceilings) | WitnessClaim::Raise(ceilings), Some(holder))
                if !is_closed =>
            {
                holder.heard_at = now;
                holder.raise(ceilings);
                WitnessReply::Confirmed
            }
            _ => WitnessReply::Refused,
        }
    }

    /// Returns the instances whose processes this one witnesses.
    pub fn witnessed_instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.holders.values().map(|holder| &holder.instance)
    }

    /// Returns whether a holder has been silent for so long that its tokens may have to be returned.
    pub fn has_silent(&self, now: Instant) -> bool {
        self.holders.values().any(|holder| holder.is_silent(now))
    }

    /// Closes the holders that have been silent for long and whose records still name this process, according to `is_witnessed`, and
    /// returns them. The other silent ones are forgotten: they have another witness or a successor.
    pub fn close_silent(
        &mut self,
        is_witnessed: impl Fn(IncarnationId) -> bool,
        now: Instant,
    ) -> Vec<SilentHolder> {
        self.holders
            .retain(|incarnation, holder| !holder.is_silent(now) || is_witnessed(*incarnation));
        let silent = self.holders.iter().filter(|(_, holder)| holder.is_silent(now));
        let silent: Vec<_> = silent
            .map(|(incarnation, holder)| SilentHolder {
                incarnation: *incarnation,
                ceilings: holder.ceilings.clone(),
            })
            .collect();
        self.closed.extend(silent.iter().map(|holder| holder.incarnation));
        silent
    }

    /// Forgets a holder whose tokens were returned.
    pub fn forget(&mut self, incarnation: IncarnationId) {
        self.holders.remove(&incarnation);
    }
}

impl WitnessedHolder {
    fn is_silent(&self, now: Instant) -> bool {
        now >= self.heard_at + SILENCE_LIMIT
    }

    fn raise(&mut self, ceilings: &SpendCeilings) {
        for (workspace, tokens) in ceilings {
            let ceiling = self.ceilings.entry(workspace.clone()).or_default();
            *ceiling = (*ceiling).max(*tokens);
        }
    }
}
