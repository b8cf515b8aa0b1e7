//! A node's view of the cluster: configuration, upstreams, assignments and other nodes.
//!
//! Relays update their views from watches on the store; the other nodes fetch them from relays. A
//! node that can't rely on a relay follows the store itself. Neither a configuration nor a replica
//! ever reverts to an older state.

mod apply;
mod exchange;
mod notice;
mod unusable;

pub use exchange::{LatestRevisions, Snapshot, StoreContact, ViewRequest, WantedView};
pub use notice::{RestartCause, ViewName, ViewNotice};
pub use unusable::UnusableCounts;

use crate::core::records::{NodeRecord, RouterKeys};
use crate::core::relays::RelayContacts;
use crate::core::replica::{Replica, ReplicaHealth, ReplicaTiming};
use beamtray_catalog::{Configuration, Directory, DirectoryPolicy, UpstreamId};
use beamtray_dialect::Dialect;
use beamtray_dispatch::{SpeedRecord, SuspicionRecord};
use beamtray_metastore::{GranterRecord, Item, Revision, StoreCall, StoreOutcome};
use beamtray_sharding::Assignment;
use beamtray_types::{ServiceName, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use unusable::{UnknownServices, UnreadableKeys};

/// Delay that batches changes in views where few records change at once.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Delay that batches changes in views where many records change at once.
const BULK_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Maximum size of a stored registration in bytes, about two hundred times the size of an
/// upstream's own.
const MAX_REGISTRATION_SIZE: usize = 64 * 1024;
/// How long another node may know of a change before this node's watch, which should have reported
/// it, is considered stalled.
const WATCH_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for changes that should arrive from a relay. It is longer because a large snapshot
/// takes time, and fetching it from a second source would share the same link.
const RELAY_STALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a restarted watch may take before it is considered stalled too.
const WATCH_RESTART_INTERVAL: Duration = Duration::from_millis(1_200);
/// Maximum timeout of watches whose changes may be seen late: nodes that join or leave are heard by
/// others, and granters announce assignments.
const BACKGROUND_WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Assignments are read from the store when the granter has been silent for this long.
const GRANTER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a node that hears a relay waits to get the member list from it before reading the list
/// from the store.
const RELAYED_MEMBERS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a node waits after startup to hear from a relay.
const RELAY_STARTUP_TIMEOUT: Duration = Duration::from_millis(600);

/// A change that another node has seen and this one has not.
#[derive(Clone, Copy, Debug)]
struct Lag {
    revision: Revision,
    /// When the source that should have delivered the change is considered stalled.
    stalled_at: Time,
    /// When the watch is restarted.
    restart_at: Time,
}

/// A node's view of the cluster.
pub struct Views {
    dialect: Rc<dyn Dialect>,
    replicas: [Replica; ViewName::ALL.len()],
    lag: [Option<Lag>; ViewName::ALL.len()],
    granter_heard_at: Option<Time>,
    /// Whether this node follows the store itself.
    follows: bool,
    /// The members are not read before this time, since many nodes may start together.
    members_read_after: Time,
    /// When the members became known.
    members_since: Option<Time>,
    /// The relays that this node hears.
    pub relays: RelayContacts,
    /// The known upstreams.
    pub directory: Directory,
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// The newest assignment of each service.
    pub assignments: BTreeMap<ServiceName, Rc<Assignment>>,
    /// Services whose assignment changed since the last call of `take_changed_assignments`.
    changed_assignments: BTreeSet<ServiceName>,
    /// Stored speeds measured by earlier processes, until the dispatcher takes them.
    pub speeds: Option<SpeedRecord>,
    /// Stored poison request suspicions, until the dispatcher takes them.
    pub suspicions: Option<SuspicionRecord>,
    /// The registered nodes.
    pub nodes: BTreeMap<String, NodeRecord>,
    nodes_changed: bool,
    /// The current granter.
    pub granter: Option<GranterRecord>,
    unreadable: UnreadableKeys,
    unknown_services: UnknownServices,
    notices: Vec<ViewNotice>,
}

impl Views {
    /// Creates empty views. Watches of the operator's and the upstreams' entries, whose changes
    /// must take effect in time, wait up to `wait`.
    pub fn new(dialect: Rc<dyn Dialect>, policy: DirectoryPolicy, wait: Duration) -> Self {
        let keys = *dialect.keys();
        let timing = |batch_delay| ReplicaTiming {
            max_watch_timeout: wait,
            batch_delay,
        };
        let background = ReplicaTiming {
            max_watch_timeout: BACKGROUND_WATCH_TIMEOUT.max(wait),
            batch_delay: BATCH_DELAY,
        };
        Self {
            replicas: [
                Replica::new(keys.operator_prefix, timing(BATCH_DELAY)),
                Replica::new(keys.upstream_prefix, timing(BULK_BATCH_DELAY))
                    .with_max_value_size(MAX_REGISTRATION_SIZE),
                Replica::new(RouterKeys::MEMBERS, background),
                Replica::new(RouterKeys::STATE, background),
            ],
            lag: [None; ViewName::ALL.len()],
            granter_heard_at: None,
            follows: true,
            members_read_after: Time::ZERO,
            members_since: None,
            relays: RelayContacts::default(),
            dialect,
            directory: Directory::new(policy),
            configuration: None,
            assignments: BTreeMap::new(),
            changed_assignments: BTreeSet::new(),
            speeds: None,
            suspicions: None,
            nodes: BTreeMap::new(),
            nodes_changed: true,
            granter: None,
            unreadable: UnreadableKeys::default(),
            unknown_services: UnknownServices::default(),
            notices: Vec::new(),
        }
    }

    fn replica_mut(&mut self, view: ViewName) -> &mut Replica {
        &mut self.replicas[view as usize]
    }

    /// The replica of a view.
    pub fn replica(&self, view: ViewName) -> &Replica {
        &self.replicas[view as usize]
    }

    /// Delays reading the members until `time`.
    pub fn wait_for_members(&mut self, time: Time) {
        self.members_read_after = time;
    }

    /// Decides whether this node follows the store itself, either as a relay or because it can't
    /// rely on one. After startup a node first gives the relays time to contact it.
    pub fn follow(&mut self, now: Time, is_relay: bool) {
        self.relays.expire(now);
        let known = self
            .replica(ViewName::Members)
            .mirror()
            .revision()
            .is_some();
        let since = match self.members_since {
            Some(since) => since,
            None if known => *self.members_since.insert(now),
            None => now,
        };
        let can_rely = self.relays.any_fresh(now) || now.since(since) < RELAY_STARTUP_TIMEOUT;
        let follows = is_relay || !can_rely;
        if follows != self.follows {
            self.notices.push(ViewNotice::FollowsStore {
                directly: follows,
                as_relay: is_relay,
            });
        }
        if follows && !self.follows {
            self.restart_pending(now);
        }
        self.follows = follows;
    }

    /// Restarts watches left over from when this node last followed the store. Nothing has
    /// confirmed since then that they still work: other nodes rely on a relay that takes over, and
    /// its old watch could wait on a dead connection for the whole watch timeout.
    fn restart_pending(&mut self, now: Time) {
        for view in ViewName::ALL {
            if self.replica(view).is_pending() {
                self.restart(now, view, RestartCause::FollowsAgain);
            }
        }
    }

    /// Whether this node follows the store itself.
    pub fn follows_store(&self) -> bool {
        self.follows
    }

    /// Whether some view is kept up to date neither by the store nor by a relay.
    pub fn is_disconnected(&self, now: Time) -> bool {
        let watched = [ViewName::Operator, ViewName::Upstreams, ViewName::Members];
        let unknown = |view: &ViewName| self.replica(*view).mirror().revision().is_none();
        if !self.follows && self.relays.any_fresh(now) {
            return watched.iter().any(unknown);
        }
        watched.iter().any(|view| self.replica(*view).is_failing())
    }

    /// Whether the registrations of upstreams have been read.
    pub fn knows_upstreams(&self) -> bool {
        self.replica(ViewName::Upstreams)
            .mirror()
            .revision()
            .is_some()
    }

    /// Whether enough is known to serve requests.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.knows_upstreams()
    }

    /// The store call that is due for a view.
    pub fn poll(&mut self, now: Time, view: ViewName) -> Option<StoreCall> {
        let known = self.replica(view).mirror().revision().is_some();
        let is_due = match view {
            ViewName::Members if !known => self.reads_members(now),
            _ if self.members_since.is_none() => false,
            ViewName::State if known => self.follows && !self.is_granter_heard(now),
            _ => self.follows,
        };
        if !is_due && !self.is_stalled(now, view) {
            return None;
        }
        if self.replica(view).is_watch_overdue(now) {
            self.note_restart(view, RestartCause::Overdue);
            self.replica_mut(view).give_up_watch(now);
        }
        self.replica_mut(view).poll(now)
    }

    /// Whether a node without a member list should read it from the store. It should not while it
    /// hears a relay, which provides the list at no cost to the store.
    fn reads_members(&self, now: Time) -> bool {
        let is_relayed =
            self.relays.any_fresh(now) && now < self.members_read_after + RELAYED_MEMBERS_TIMEOUT;
        now >= self.members_read_after && !is_relayed
    }

    /// Whether another node has known of a change for so long that the source which should have
    /// delivered it is considered stalled.
    fn is_stalled(&self, now: Time, view: ViewName) -> bool {
        let lag = self.lag[view as usize];
        view != ViewName::State && lag.is_some_and(|lag| now >= lag.stalled_at)
    }

    /// Compares a replica with the revision that another node has seen.
    fn compare_revision(&mut self, now: Time, view: ViewName, theirs: Revision) {
        self.clear_lag(view);
        if !self.replica(view).is_behind(theirs) {
            // The other node's message may be older than this replica.
            return;
        }
        let timeout = if self.follows {
            WATCH_STALL_TIMEOUT
        } else {
            RELAY_STALL_TIMEOUT
        };
        let Some(lag) = &mut self.lag[view as usize] else {
            self.lag[view as usize] = Some(Lag {
                revision: theirs,
                stalled_at: now + timeout,
                restart_at: now + timeout,
            });
            return;
        };
        lag.revision = lag.revision.max(theirs);
        if view != ViewName::State && now >= lag.restart_at {
            lag.restart_at = now + WATCH_RESTART_INTERVAL;
            self.restart(now, view, RestartCause::Behind);
        }
    }

    /// Whether another node is known to have a newer revision of a view.
    pub fn is_behind(&self, view: ViewName) -> bool {
        self.lag[view as usize].is_some()
    }

    /// Clears the recorded lag of a view once its replica has caught up.
    fn clear_lag(&mut self, view: ViewName) {
        let lag = self.lag[view as usize];
        if lag.is_some_and(|lag| !self.replica(view).is_behind(lag.revision)) {
            self.lag[view as usize] = None;
        }
    }

    /// Whether the granter currently announces assignments. After startup it is given time to do
    /// so.
    fn is_granter_heard(&self, now: Time) -> bool {
        let heard = self.granter_heard_at.unwrap_or(Time::ZERO);
        now.since(heard) < GRANTER_TIMEOUT
    }

    fn restart(&mut self, now: Time, view: ViewName, cause: RestartCause) {
        self.note_restart(view, cause);
        self.replica_mut(view).restart(now);
    }

    fn note_restart(&mut self, view: ViewName, cause: RestartCause) {
        let prefix = self.replica(view).prefix().to_owned();
        self.notices
            .push(ViewNotice::WatchRestarted { prefix, cause });
    }

    /// Retries failed calls immediately, since the store answers other calls.
    pub fn retry_all(&mut self, now: Time) {
        for replica in &mut self.replicas {
            replica.retry(now);
        }
    }

    /// Restarts all watches and reads everything again, after the path to the store was down.
    pub fn restart_all(&mut self, now: Time) {
        for view in ViewName::ALL {
            self.note_restart(view, RestartCause::StoreRegained);
            self.replica_mut(view).reread(now);
        }
    }

    /// Records that this node is the granter itself.
    pub fn note_own_granter(&mut self, now: Time) {
        self.granter_heard_at = Some(now);
    }

    /// The revisions that this node has seen, to be sent to other nodes.
    pub fn own_revisions(&self, contact: Option<StoreContact>) -> LatestRevisions {
        LatestRevisions {
            latest: ViewName::ALL.map(|view| self.replica(view).latest()),
            contact,
        }
    }

    /// Applies a record that this node wrote.
    pub fn record_own_write(&mut self, now: Time, item: Item) {
        let changes = self.replica_mut(ViewName::State).apply_own_write(item);
        self.apply(now, ViewName::State, changes);
    }

    /// Handles the outcome of a view's call of the given generation.
    pub fn handle(&mut self, now: Time, view: ViewName, generation: u32, outcome: StoreOutcome) {
        let was_failing = self.replica(view).is_failing();
        let (health, changes) = self.replica_mut(view).handle(now, generation, outcome);
        self.clear_lag(view);
        let reachable = health == ReplicaHealth::Healthy;
        if was_failing != self.replica(view).is_failing() {
            let prefix = self.replica(view).prefix().to_owned();
            self.notices
                .push(ViewNotice::StoreReachable { prefix, reachable });
        }
        self.apply(now, view, changes);
    }

    /// Removes unconfirmed upstreams whose time is up.
    pub fn expire(&mut self, now: Time) {
        let changes = self.directory.expire(now);
        self.note_directory(changes);
    }

    /// Removes an upstream that is proven to have terminated.
    pub fn confirm_terminated(&mut self, now: Time, id: &UpstreamId) {
        let change = self.directory.confirm_terminated(now, id);
        self.note_directory(change);
    }

    /// Records that an upstream announced its shutdown. Returns whether that was new.
    pub fn mark_leaving(&mut self, now: Time, id: &UpstreamId) -> bool {
        let change = self.directory.mark_leaving(now, id);
        let is_news = change.is_some();
        self.note_directory(change);
        is_news
    }

    /// Whether the registered nodes changed since the last call.
    pub fn take_nodes_changed(&mut self) -> bool {
        std::mem::take(&mut self.nodes_changed)
    }

    /// Services whose assignment changed since the last call.
    pub fn take_changed_assignments(&mut self) -> BTreeSet<ServiceName> {
        std::mem::take(&mut self.changed_assignments)
    }

    /// Number of unusable entries in a view.
    pub fn unusable(&self, view: ViewName) -> UnusableCounts {
        let unknown_service = match view {
            ViewName::Upstreams => self.unknown_services.count(),
            _ => 0,
        };
        UnusableCounts {
            unreadable: self.unreadable.count(self.replica(view).prefix()),
            unknown_service,
        }
    }

    /// Changes of the views since the last call.
    pub fn take_notices(&mut self) -> Vec<ViewNotice> {
        std::mem::take(&mut self.notices)
    }
}
