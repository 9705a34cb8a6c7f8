use std::{
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{ConfigRevision, EndpointId};
use compio::{runtime::JoinHandle, time::timeout};
use futures_channel::oneshot;
use slog::info;

use super::{DependencyTracker, MAX_READERS_ASKED, MAX_RELAYED_AGE, MIN_WATCH_TIME, WATCH_TIME};
use crate::{
    gateway::Gateway,
    platform_api::{EntryChange, FleetStore, ListPage, Platform, StoreChanges},
};

/// How long another gateway may delay its answer: until its own watch has ended.
const QUERY_WAIT: Duration = Duration::from_millis(1_000);

/// The time that it takes to read the configuration from the store instead of from another gateway.
const CONFIG_READ_TIME: Duration = Duration::from_millis(500);

/// The number of short watches after which a list that was read is given up because it does not reach the known version. The versions of
/// the store may have begun anew.
const MAX_CATCH_UP_WATCHES: usize = 20;

/// How long endpoints whose entries vanished in an outage of the store are kept after its return. Live endpoints
/// register again within about two seconds.
const GRACE_TIME: Duration = Duration::from_millis(1_900);

/// The shortest outage in which the entry of a live endpoint may have expired. A lease that was renewed as usual lasts longer.
const MIN_EXPIRY_TIME: Duration = Duration::from_secs(1);

/// How long a round waits for a list that is being read. A healthy store answers within milliseconds; over a full link, changes
/// are asked for meanwhile.
const LIST_WAIT: Duration = Duration::from_millis(250);

type ListResult = Result<ListPage<EntryChange>, UnavailableReason>;

/// What another gateway says of its configuration.
struct ConfigStatement {
    revision: Option<ConfigRevision>,
    complete_until: Option<Instant>,
}

/// A read of the whole registry that goes on in the background, so that changes are heard of meanwhile.
struct PendingList {
    asked_at: Instant,
    result: oneshot::Receiver<ListResult>,
    _task: JoinHandle<()>,
}

/// The last time in which the store did not answer.
struct StoreOutage {
    began_at: Instant,
    /// When a call last failed.
    failed_at: Instant,
    /// When a call first succeeded again.
    regained_at: Option<Instant>,
}

/// Follows the changes of the registry: through a gateway that reads it for others, or in the store itself.
pub(super) struct ListFollower<P: Platform> {
    gateway: Rc<Gateway<P>>,
    tracker: DependencyTracker,
    outage: Option<StoreOutage>,
    unreadable: HashSet<Option<EndpointId>>,
    pending_list: Option<PendingList>,
    /// What the gateway that answered last said of its configuration.
    config_statement: Option<ConfigStatement>,
    /// The gateway that answered last, if the list comes from another gateway.
    relayed_by: Option<SocketAddr>,
}

impl<P: Platform> ListFollower<P> {
    /// Creates a follower that has read nothing yet.
    pub(super) fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            tracker: DependencyTracker::new("endpoint registry", gateway.log()),
            gateway,
            outage: None,
            unreadable: HashSet::new(),
            pending_list: None,
            config_statement: None,
            relayed_by: None,
        }
    }

    /// Waits for changes and applies them.
    pub(super) async fn update_list(&mut self) {
        let readers = self.gateway.members().borrow().registry_readers();
        let is_known = self.gateway.list_version().is_some();
        if is_known && !readers.is_own {
            let relayed_by = self.ask_readers(readers.others.clone(), QUERY_WAIT).await;
            if relayed_by != self.relayed_by {
                info!(self.gateway.log(), "source of the list of endpoints changed"; "from" => ?self.relayed_by,
                    "to" => ?relayed_by);
                self.relayed_by = relayed_by;
            }
            if let Some(reader) = relayed_by {
                self.follow_config_of(reader).await;
                // The readers see to it that nothing is missing.
                self.gateway.set_may_miss_changes(false);
                self.pending_list = None;
                return;
            }
            self.gateway.set_config_relayed_until(None);
        }
        match self.follow_store().await {
            Ok(()) => {
                if self.tracker.record_success().is_some()
                    && let Some(outage) = &mut self.outage
                {
                    outage.regained_at = Some(Instant::now());
                }
                if self.gateway.may_miss_changes() {
                    self.ask_others(readers.others).await;
                }
            }
            Err(reason) => {
                self.record_failure(Instant::now());
                self.gateway.set_may_miss_changes(true);
                self.ask_others(readers.others).await;
                self.tracker.back_off(reason).await;
            }
        }
    }

    /// Asks other gateways, since the store did not answer or changes may be missing. It may answer them.
    async fn ask_others(&mut self, others: Vec<SocketAddr>) {
        if let Some(gateway) = self.ask_readers(others, Duration::ZERO).await {
            self.follow_config_of(gateway).await;
        }
    }

    /// Asks other gateways in turn for what has changed, until one has a current list. Returns the one that has.
    async fn ask_readers(
        &mut self,
        readers: Vec<SocketAddr>,
        wait: Duration,
    ) -> Option<SocketAddr> {
        let client = self.gateway.funds().loan_client();
        for reader in client.order_by_health(readers).into_iter().take(MAX_READERS_ASKED) {
            // Only the reader that was current before is worth a wait.
            let wait = if self.relayed_by == Some(reader) { wait } else { Duration::ZERO };
            let query = self.gateway.list_query(wait);
            let asked_at = Instant::now();
            let answer = match client.query_list(reader, &query).await {
                Ok(answer) => answer,
                Err(error) => {
                    info!(self.gateway.log(), "no answer about the list of endpoints"; "asked" => %reader, "error" => &*error);
                    continue;
                }
            };
            // The configuration was as old when the answer was made.
            let config_age = answer.config_age_ms.map(Duration::from_millis);
            let complete_until =
                config_age.and_then(|age| answer.made_at(asked_at).checked_sub(age));
            let revision = answer.config_revision;
            self.config_statement = Some(ConfigStatement { revision, complete_until });
            let (version, age_ms, parts) = (answer.version, answer.age_ms, answer.parts.len());
            let is_applied = self.gateway.apply_list_answer(answer, asked_at);
            let age = self.gateway.list_freshness().age(Instant::now());
            let is_current = is_applied && age.is_some_and(|age| age <= MAX_RELAYED_AGE);
            if parts > 0 || !is_current {
                info!(self.gateway.log(), "list of endpoints compared with another gateway's"; "asked" => %reader,
                    "version" => %version, "age_ms" => age_ms, "parts" => parts, "applied" => is_applied);
            }
            if is_current {
                return Some(reader);
            }
        }
        None
    }

    /// Takes over the configuration of the gateway that the list comes from, if it is newer than the own one.
    async fn follow_config_of(&mut self, reader: SocketAddr) {
        let Some(ConfigStatement { revision, complete_until }) = self.config_statement.take()
        else {
            return;
        };
        let own = self.gateway.route_table().map(|table| table.revision());
        if revision > own && !self.fetch_config(reader).await {
            return;
        }
        // A reader that knows less than this process is no reason to stop reading the store.
        let Some(complete_until) = complete_until.filter(|_| revision >= own) else { return };
        self.gateway.config_freshness().confirm(complete_until);
        let max_age = self.gateway.settings().max_list_age.saturating_sub(CONFIG_READ_TIME);
        self.gateway.set_config_relayed_until(Some(complete_until + max_age));
    }

    /// Puts the configuration of another gateway in force. Returns whether it was received.
    async fn fetch_config(&self, reader: SocketAddr) -> bool {
        match self.gateway.funds().loan_client().fetch_config(reader).await {
            Ok(Some(config)) => {
                let (revision, routes) = (config.revision, config.routes.len());
                let is_accepted = self.gateway.accept_config(config);
                info!(self.gateway.log(), "configuration read from another gateway"; "from" => %reader,
                    "revision" => %revision, "routes" => routes, "accepted" => is_accepted);
                true
            }
            outcome => {
                info!(self.gateway.log(), "no configuration from another gateway"; "asked" => %reader,
                    "error" => outcome.err().as_deref());
                false
            }
        }
    }

    /// Reads the registry in the store, or waits for changes there.
    async fn follow_store(&mut self) -> Result<(), UnavailableReason> {
        let Some(after) = self.gateway.list_version() else {
            let asked_at = Instant::now();
            let page = self.gateway.store().list_endpoints().await?;
            self.log_list(&page, asked_at);
            self.gateway.apply_list(page.entries, self.grace_end(), &mut self.unreadable);
            self.gateway.set_list_version(Some(page.version));
            self.gateway.list_freshness().confirm(asked_at);
            self.gateway.set_may_miss_changes(false);
            return Ok(());
        };
        if self.gateway.may_miss_changes() {
            self.begin_list();
        }
        if after != StoreVersion::MISSING {
            self.watch_changes(after).await?;
        }
        self.finish_list().await
    }

    /// Waits for changes after a version and applies them.
    async fn watch_changes(&mut self, after: StoreVersion) -> Result<(), UnavailableReason> {
        let (asked_at, wait) = (Instant::now(), self.watch_time());
        match self.gateway.store().watch_endpoints(after, wait).await? {
            StoreChanges::Changed { changes, version } => {
                // The store answers a watch without changes only at its end.
                let complete_until = if changes.is_empty() { asked_at + wait } else { asked_at };
                self.apply_changes(changes);
                self.gateway.set_list_version(Some(version));
                if !self.gateway.may_miss_changes() {
                    self.gateway.list_freshness().confirm(complete_until.min(Instant::now()));
                }
            }
            StoreChanges::HistoryLost => {
                info!(self.gateway.log(), "registry history lost; reading it again"; "after" => %after);
                // The versions of the store may have begun anew.
                self.gateway.set_list_version(Some(StoreVersion::MISSING));
                self.gateway.set_may_miss_changes(true);
                self.begin_list();
            }
        }
        Ok(())
    }

    /// Begins to read the whole registry, if that is not under way.
    fn begin_list(&mut self) {
        if self.pending_list.is_some() {
            return;
        }
        let (sender, result) = oneshot::channel();
        let (gateway, asked_at) = (Rc::clone(&self.gateway), Instant::now());
        let task = compio::runtime::spawn(async move {
            let outcome = gateway.store().list_endpoints().await;
            // Nobody waits any longer if another gateway had the list.
            let _ = sender.send(outcome);
        });
        self.pending_list = Some(PendingList { asked_at, result, _task: task });
    }

    /// Waits for the list that is read in the background, if there is one, and applies it with all changes since.
    async fn finish_list(&mut self) -> Result<(), UnavailableReason> {
        let Some(list) = &mut self.pending_list else { return Ok(()) };
        let asked_at = list.asked_at;
        let Ok(Ok(result)) = timeout(LIST_WAIT, &mut list.result).await else { return Ok(()) };
        self.pending_list = None;
        let page = result?;
        self.log_list(&page, asked_at);
        // Changes that this process already knows must not be undone by the list, which may be older.
        let (mut version, mut changes) = (page.version, Vec::new());
        for _ in 0..MAX_CATCH_UP_WATCHES {
            if self.gateway.list_version().is_none_or(|known| version >= known) {
                self.replace_list(page.entries, changes, version, asked_at);
                break;
            }
            match self.gateway.store().watch_endpoints(version, MIN_WATCH_TIME).await? {
                StoreChanges::Changed { changes: later, version: reached } => {
                    changes.extend(later);
                    version = reached;
                }
                StoreChanges::HistoryLost => return Ok(()),
            }
        }
        Ok(())
    }

    /// Replaces the list by the entries of the registry and the changes since they were read.
    fn replace_list(
        &mut self,
        mut entries: Vec<EntryChange>,
        changes: Vec<EntryChange>,
        version: StoreVersion,
        asked_at: Instant,
    ) {
        let changed: HashSet<_> = changes.iter().filter_map(changed_endpoint).collect();
        entries.retain(|entry| changed_endpoint(entry).is_none_or(|id| !changed.contains(&id)));
        let is_entry = |change: &EntryChange| !matches!(change, EntryChange::Removed(_));
        entries.extend(newest_changes(changes).into_iter().filter(is_entry));
        self.gateway.apply_list(entries, self.grace_end(), &mut self.unreadable);
        self.gateway.set_list_version(Some(version));
        self.gateway.list_freshness().confirm(asked_at);
        self.gateway.set_may_miss_changes(false);
    }

    fn apply_changes(&mut self, changes: Vec<EntryChange>) {
        let grace_end = self.grace_end();
        for change in changes {
            self.gateway.apply_change(change, grace_end, &mut self.unreadable);
        }
    }

    /// Returns how long to watch. A watch must outlast neither the age up to which the list is current nor the time at which a
    /// missing endpoint has to be removed, and not keep a list from being applied.
    fn watch_time(&self) -> Duration {
        if self.gateway.may_miss_changes() {
            return MIN_WATCH_TIME;
        }
        let now = Instant::now();
        let age = self.gateway.list_freshness().age(now).unwrap_or_default();
        let removal_time = self.gateway.endpoints().borrow().next_removal_time();
        let until_removal = removal_time.map(|end| end.saturating_duration_since(now));
        let wait = WATCH_TIME.saturating_sub(age);
        until_removal.map_or(wait, |until| until.min(wait)).max(MIN_WATCH_TIME)
    }

    /// Records that the store did not answer.
    fn record_failure(&mut self, now: Instant) {
        match &mut self.outage {
            Some(outage) if outage.regained_at.is_none() => outage.failed_at = now,
            _ => {
                self.outage =
                    Some(StoreOutage { began_at: now, failed_at: now, regained_at: None });
            }
        }
    }

    /// Returns until when an endpoint is kept whose entry vanishes now, or `None` if it is to be removed at once. After an outage of the
    /// store the entry may only have expired, but it may also have been removed since the latest time up to which the list is known to be
    /// complete, or since the return of a store that was away for so long that entries expired.
    fn grace_end(&self) -> Option<Instant> {
        let (outage, now) = (self.outage.as_ref()?, Instant::now());
        let may_have_expired = outage.failed_at.duration_since(outage.began_at) >= MIN_EXPIRY_TIME;
        let earliest_removal = if may_have_expired {
            outage.failed_at
        } else {
            self.gateway.list_freshness().complete_until()?
        };
        let grace_end = outage.regained_at.unwrap_or(now) + GRACE_TIME;
        let leaving_end = earliest_removal + self.gateway.settings().max_list_age;
        Some(grace_end.min(leaving_end)).filter(|end| now < *end)
    }

    fn log_list(&self, page: &ListPage<EntryChange>, asked_at: Instant) {
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).ok();
        info!(self.gateway.log(), "registry read"; "entries" => page.entries.len(), "version" => %page.version,
            "took_ms" => millis(asked_at.elapsed()),
            "list_age_ms" => self.gateway.list_freshness().age(asked_at).and_then(millis));
    }
}

/// Returns the endpoint that a change concerns, if its entry names one.
fn changed_endpoint(change: &EntryChange) -> Option<EndpointId> {
    match change {
        EntryChange::Written(record) => Some(record.id.clone()),
        EntryChange::Unreadable { endpoint, .. } => endpoint.clone(),
        EntryChange::Removed(id) => Some(id.clone()),
    }
}

/// Returns the last change of each endpoint.
fn newest_changes(changes: Vec<EntryChange>) -> Vec<EntryChange> {
    let mut seen = HashSet::new();
    let mut newest: Vec<_> = changes
        .into_iter()
        .rev()
        .filter(|change| changed_endpoint(change).is_none_or(|id| seen.insert(id)))
        .collect();
    newest.reverse();
    newest
}
