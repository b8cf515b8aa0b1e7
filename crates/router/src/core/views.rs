//! What a node knows: configuration, upstreams, assignments, other nodes.
//!
//! Views come from the store's watches at the relays, and from the relays at
//! the other nodes. A node that can't rely on a relay follows the store itself.
//! Neither a configuration nor a copy ever goes back.

mod apply;
mod exchange;
mod notice;
mod unusable;

pub use exchange::{LatestRevisions, Snapshot, StoreContact, ViewRequest, WantedView};
pub use notice::{ViewName, ViewNotice};
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

/// Pause after changes of a view in which few change together.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Pause after changes of a view in which many change together.
const BULK_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Longest registration that is kept, in bytes: some two hundred times an upstream's own.
const MAX_REGISTRATION_SIZE: usize = 64 * 1024;
/// How long another node may know of a change before the watch that should
/// have told of it counts as dead.
const WATCH_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The same where the change should have come from a relay. Longer, since a
/// large copy takes its time and a second way to it would share the link.
const RELAY_STALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a new watch is given before it counts as dead as well.
const WATCH_RESTART_INTERVAL: Duration = Duration::from_millis(1_200);
/// After this long without word from the granter assignments are read from the
/// store.
const GRANTER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a node that hears a relay is given to get the nodes from it before it
/// reads them itself.
const RELAYED_MEMBERS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a node that has just started waits for the word of a relay.
const RELAY_STARTUP_TIMEOUT: Duration = Duration::from_millis(600);

/// A change that another node knows of.
#[derive(Clone, Copy, Debug)]
struct Lag {
    revision: Revision,
    /// From when on the way by which the change should have come counts as dead.
    stalled_at: Time,
    /// When the watch is given up on.
    restart_at: Time,
}

/// What a node knows.
pub struct Views {
    dialect: Rc<dyn Dialect>,
    replicas: [Replica; ViewName::ALL.len()],
    lag: [Option<Lag>; ViewName::ALL.len()],
    granter_heard_at: Option<Time>,
    /// Whether this node follows the store itself.
    follows: bool,
    /// Before this the nodes are not read: many start together.
    members_read_after: Time,
    /// Since when the nodes are known.
    members_since: Option<Time>,
    /// The relays that this node hears.
    pub relays: RelayContacts,
    /// The upstreams.
    pub directory: Directory,
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Newest assignment of each service.
    pub assignments: BTreeMap<ServiceName, Rc<Assignment>>,
    /// Services whose assignment changed since that was last asked for.
    changed_assignments: BTreeSet<ServiceName>,
    /// Speeds that an earlier process learned, until they are taken.
    pub speeds: Option<SpeedRecord>,
    /// Requests that end upstreams, as the store has them, until they are taken.
    pub suspicions: Option<SuspicionRecord>,
    /// Nodes that are registered.
    pub nodes: BTreeMap<String, NodeRecord>,
    nodes_changed: bool,
    /// The granter.
    pub granter: Option<GranterRecord>,
    unreadable: UnreadableKeys,
    unknown_services: UnknownServices,
    notices: Vec<ViewNotice>,
}

impl Views {
    /// A node that knows nothing; watches wait up to `wait`.
    pub fn new(dialect: Rc<dyn Dialect>, policy: DirectoryPolicy, wait: Duration) -> Self {
        let keys = *dialect.keys();
        let timing = |batch_delay| ReplicaTiming {
            max_watch_timeout: wait,
            batch_delay,
        };
        Self {
            replicas: [
                Replica::new(keys.operator_prefix, timing(BATCH_DELAY)),
                Replica::new(keys.upstream_prefix, timing(BULK_BATCH_DELAY))
                    .with_max_value_size(MAX_REGISTRATION_SIZE),
                Replica::new(RouterKeys::MEMBERS, timing(BATCH_DELAY)),
                Replica::new(RouterKeys::STATE, timing(BATCH_DELAY)),
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

    /// Lets the nodes be read at `time` at the earliest.
    pub fn wait_for_members(&mut self, time: Time) {
        self.members_read_after = time;
    }

    /// Decides whether this node follows the store itself: as a relay, or
    /// since it can't rely on one. A node that has just started gives the
    /// relays time to tell it.
    pub fn follow(&mut self, now: Time, is_relay: bool) {
        self.relays.expire(now);
        let known = self.replica(ViewName::Members).mirror().at().is_some();
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

    /// Gives up on watches that began while this node followed the store before. Nothing
    /// told since whether they still hear: others rely on a relay that takes over, and its
    /// old watch may wait on a dead path for as long as a watch waits.
    fn restart_pending(&mut self, now: Time) {
        for view in ViewName::ALL {
            if self.replica(view).is_pending() {
                self.restart(now, view);
            }
        }
    }

    /// Whether this node follows the store itself.
    pub fn follows_store(&self) -> bool {
        self.follows
    }

    /// Whether neither the store nor a relay keeps some view up.
    pub fn is_disconnected(&self, now: Time) -> bool {
        let watched = [ViewName::Operator, ViewName::Upstreams, ViewName::Members];
        let unknown = |view: &ViewName| self.replica(*view).mirror().at().is_none();
        if !self.follows && self.relays.any_fresh(now) {
            return watched.iter().any(unknown);
        }
        watched.iter().any(|view| self.replica(*view).is_failing())
    }

    /// Whether the registrations of upstreams were read.
    pub fn knows_upstreams(&self) -> bool {
        self.replica(ViewName::Upstreams).mirror().at().is_some()
    }

    /// Whether enough is known to serve.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.knows_upstreams()
    }

    /// The call that is due for a view.
    pub fn poll(&mut self, now: Time, view: ViewName) -> Option<StoreCall> {
        let known = self.replica(view).mirror().at().is_some();
        let is_due = match view {
            ViewName::Members if !known => self.reads_members(now),
            _ if self.members_since.is_none() => false,
            ViewName::State if known => self.follows && !self.hears_granter(now),
            _ => self.follows,
        };
        if !is_due && !self.is_stalled(now, view) {
            return None;
        }
        self.replica_mut(view).poll(now)
    }

    /// Whether a node that knows no other is to read them: not while it hears a
    /// relay, from which it has them at no cost to the store.
    fn reads_members(&self, now: Time) -> bool {
        let is_relayed =
            self.relays.any_fresh(now) && now < self.members_read_after + RELAYED_MEMBERS_TIMEOUT;
        now >= self.members_read_after && !is_relayed
    }

    /// Whether another node has known of a change for so long that the way by
    /// which this node should have heard of it counts as dead.
    fn is_stalled(&self, now: Time, view: ViewName) -> bool {
        let lag = self.lag[view as usize];
        view != ViewName::State && lag.is_some_and(|lag| now >= lag.stalled_at)
    }

    /// Compares a copy with what another node has seen.
    fn compare_revision(&mut self, now: Time, view: ViewName, theirs: Revision) {
        self.clear_lag(view);
        if !self.replica(view).is_behind(theirs) {
            // Another node's word may be older than this copy.
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
            self.restart(now, view);
        }
    }

    /// Notes whether a copy has what another node was ahead by.
    fn clear_lag(&mut self, view: ViewName) {
        let lag = self.lag[view as usize];
        if lag.is_some_and(|lag| !self.replica(view).is_behind(lag.revision)) {
            self.lag[view as usize] = None;
        }
    }

    /// Whether the granter tells of assignments. A node that has just started
    /// gives it time to.
    fn hears_granter(&self, now: Time) -> bool {
        let heard = self.granter_heard_at.unwrap_or(Time::ZERO);
        now.since(heard) < GRANTER_TIMEOUT
    }

    fn restart(&mut self, now: Time, view: ViewName) {
        self.note_restart(view);
        self.replica_mut(view).restart(now);
    }

    fn note_restart(&mut self, view: ViewName) {
        let prefix = self.replica(view).prefix().to_owned();
        self.notices.push(ViewNotice::WatchRestarted { prefix });
    }

    /// Tries again at once what has failed: the store answers other calls.
    pub fn retry_all(&mut self, now: Time) {
        for replica in &mut self.replicas {
            replica.retry(now);
        }
    }

    /// Gives up on all watches and reads again: the path to the store was dead for a while.
    pub fn restart_all(&mut self, now: Time) {
        for view in ViewName::ALL {
            self.note_restart(view);
            self.replica_mut(view).reread(now);
        }
    }

    /// Notes that this node is the granter itself.
    pub fn note_own_granter(&mut self, now: Time) {
        self.granter_heard_at = Some(now);
    }

    /// What this node has seen, for other nodes.
    pub fn own_revisions(&self, contact: Option<StoreContact>) -> LatestRevisions {
        LatestRevisions {
            latest: ViewName::ALL.map(|view| self.replica(view).latest()),
            contact,
        }
    }

    /// Takes an assignment that this node wrote.
    pub fn record_own_write(&mut self, now: Time, item: Item) {
        let changes = self.replica_mut(ViewName::State).apply_own_write(item);
        self.apply(now, ViewName::State, changes);
    }

    /// Takes the outcome of a view's call of that generation.
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

    /// Drops unconfirmed upstreams whose time is over.
    pub fn expire(&mut self, now: Time) {
        let changes = self.directory.expire(now);
        self.note_directory(changes);
    }

    /// Drops an upstream that was found gone.
    pub fn proved_gone(&mut self, now: Time, id: &UpstreamId) {
        let change = self.directory.proved_gone(now, id);
        self.note_directory(change);
    }

    /// Takes an upstream's word that it leaves; whether that was news.
    pub fn mark_leaving(&mut self, now: Time, id: &UpstreamId) -> bool {
        let change = self.directory.says_it_leaves(now, id);
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

    /// Entries of a view that can't be used.
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

    /// Beliefs that changed since the last call.
    pub fn take_notices(&mut self) -> Vec<ViewNotice> {
        std::mem::take(&mut self.notices)
    }
}
