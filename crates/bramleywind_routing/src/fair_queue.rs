use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use bramleywind_types::WorkspaceId;

/// A request that waits in a [`FairQueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The tokens that the request reserves, which are its cost in the fair scheduling between workspaces.
    pub cost: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The data of the request, which the queue does not read.
    pub payload: T,
}

/// The reason why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queue is full, and the workspace may not displace a request of another one.
    Full,
}

/// A bounded queue that shares endpoints fairly between workspaces.
///
/// Each workspace has its own lane. The virtual time of a lane grows by the cost of each request that leaves it, and
/// the lane with the lowest virtual time is served next, so a workspace that floods the queue delays only its own
/// requests. When the queue is full, a workspace below its equal share displaces the newest request of the longest
/// lane.
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
    /// Creates an empty queue for at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self { limit, length: 0, virtual_time: 0, lanes: BTreeMap::new() }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Reports whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Queues a request. Returns the request that it displaced, if any, which the caller must refuse at once.
    ///
    /// # Errors
    ///
    /// Returns [`QueueRefusal::Full`] and the request if the queue is full and the workspace may not displace another
    /// request, because it has its equal share or no lane is longer than its own would be.
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

    /// Returns how many waiting requests would be served before a new one of the workspace, if all had the same cost.
    pub fn requests_ahead_of(&self, workspace: &WorkspaceId) -> usize {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.requests.len());
        let others = self.lanes.iter().filter(|(name, _)| *name != workspace);
        others.map(|(_, lane)| lane.requests.len().min(own + 1)).sum::<usize>() + own
    }

    /// Removes and returns the request that is served next.
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

    /// Removes and returns all requests whose deadline has passed, which the caller must refuse at once.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest<T>> {
        self.take_if(|request| request.deadline <= now)
    }

    /// Removes and returns all requests that match, such as those whose caller has disconnected.
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

    /// Drops empty lanes whose virtual time the queue has reached, or all lanes if the queue is empty. Until then an
    /// empty lane stays, so that a workspace cannot reset its virtual time by leaving the queue for a moment.
    fn drop_idle_lanes(&mut self) {
        let virtual_time = self.virtual_time;
        let is_empty = self.length == 0;
        self.lanes.retain(|_, lane| {
            !lane.requests.is_empty() || (!is_empty && lane.virtual_time > virtual_time)
        });
    }
}
