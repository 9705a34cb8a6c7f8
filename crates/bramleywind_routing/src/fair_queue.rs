use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use bramleywind_types::WorkspaceId;

/// A request that waits for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// The tokens that it reserves, its cost in the fairness between workspaces.
    pub cost: u64,
    /// When its caller no longer waits.
    pub deadline: Instant,
    /// The request.
    pub payload: T,
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queue is full, and the workspace already has its share of it.
    Full,
}

/// A bounded queue that is fair between workspaces.
///
/// Each workspace has a lane of its own. A lane's virtual time grows by the cost of what it takes out, and the lane
/// with the least virtual time goes next, so a workspace that floods waits behind its own requests only. When the
/// queue is full, a workspace below its equal share displaces the newest request of the longest lane.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    length: usize,
    virtual_time: u64,
    lanes: BTreeMap<WorkspaceId, QueueLane<T>>,
}

#[derive(Debug)]
struct QueueLane<T> {
    virtual_time: u64,
    requests: VecDeque<QueuedRequest<T>>,
}

impl<T> FairQueue<T> {
    /// An empty queue for at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self { limit, length: 0, virtual_time: 0, lanes: BTreeMap::new() }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Queues a request. Returns the request that it displaced, which must be refused at once.
    ///
    /// # Errors
    ///
    /// [`QueueRefusal::Full`] with the request itself, if the queue is full and its workspace has at least an equal share.
    pub fn push(
        &mut self,
        request: QueuedRequest<T>,
    ) -> Result<Option<QueuedRequest<T>>, (QueueRefusal, QueuedRequest<T>)> {
        let displaced = if self.length < self.limit {
            None
        } else if self.may_displace(&request.workspace) {
            self.pop_newest_of_longest_lane()
        } else {
            return Err((QueueRefusal::Full, request));
        };
        let virtual_time = self.virtual_time;
        let lane = self
            .lanes
            .entry(request.workspace.clone())
            .or_insert_with(|| QueueLane { virtual_time, requests: VecDeque::new() });
        lane.requests.push_back(request);
        self.length += 1;
        Ok(displaced)
    }

    /// How many waiting requests would go before a new one of the workspace, if all cost the same.
    pub fn requests_ahead_of(&self, workspace: &WorkspaceId) -> usize {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.requests.len());
        let others = self.lanes.iter().filter(|(name, _)| *name != workspace);
        others.map(|(_, lane)| lane.requests.len().min(own + 1)).sum::<usize>() + own
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        let by_time = |left: &(&WorkspaceId, &mut QueueLane<T>),
                       right: &(&WorkspaceId, &mut QueueLane<T>)| {
            left.1.virtual_time.cmp(&right.1.virtual_time)
        };
        let waiting = self.lanes.iter_mut().filter(|(_, lane)| !lane.requests.is_empty());
        let (_, lane) = waiting.min_by(by_time)?;
        let request = lane.requests.pop_front()?;
        self.virtual_time = self.virtual_time.max(lane.virtual_time);
        lane.virtual_time = lane.virtual_time.saturating_add(request.cost.max(1));
        self.length -= 1;
        self.drop_idle_lanes();
        Some(request)
    }

    /// Takes out all requests whose deadline has passed; they must be refused at once.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest<T>> {
        self.take_if(|request| request.deadline <= now)
    }

    /// Takes out all requests that match, for example those whose caller went away.
    pub fn take_if(
        &mut self,
        matches: impl Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            let (matching, kept) = lane.requests.drain(..).partition(&matches);
            lane.requests = kept;
            taken.extend::<VecDeque<_>>(matching);
        }
        self.length -= taken.len();
        self.drop_idle_lanes();
        taken
    }

    fn may_displace(&self, workspace: &WorkspaceId) -> bool {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.requests.len());
        let waiting = self.lanes.values().filter(|lane| !lane.requests.is_empty()).count();
        let share = self.limit / (waiting + 1);
        let longest = self.lanes.values().map(|lane| lane.requests.len()).max().unwrap_or(0);
        own < share && own + 1 < longest
    }

    fn pop_newest_of_longest_lane(&mut self) -> Option<QueuedRequest<T>> {
        let lane = self.lanes.values_mut().max_by_key(|lane| lane.requests.len())?;
        let request = lane.requests.pop_back()?;
        self.length -= 1;
        self.drop_idle_lanes();
        Some(request)
    }

    /// Drops lanes without requests once the others have caught up with them. Until then they stay, so that a
    /// workspace cannot shed its debt by leaving the queue for a moment.
    fn drop_idle_lanes(&mut self) {
        let virtual_time = self.virtual_time;
        let is_empty = self.length == 0;
        self.lanes.retain(|_, lane| {
            !lane.requests.is_empty() || (!is_empty && lane.virtual_time > virtual_time)
        });
    }
}
