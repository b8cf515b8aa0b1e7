//! What a node knows: configuration, upstreams, assignments, other nodes.
//!
//! Views come from the store's watches at the relays, and from the relays at
//! the other nodes. A node that can't rely on a relay follows the store itself.
//! Neither a configuration nor a copy ever goes back.

mod apply;
mod exchange;
mod notice;
mod unusable;

pub use exchange::{Snapshot, StoreContact, ViewHeads, ViewRequest, WantedView};
pub use notice::{ViewName, ViewNotice};
pub use unusable::UnusableCounts;

use crate::core::records::{NodeRecord, OwnKeys};
use crate::core::relays::RelaysHeard;
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
use unusable::{Strangers, UnreadableKeys};

/// Pause after changes of a view in which few change together.
const GATHER_FEW: Duration = Duration::from_millis(30);
/// Pause after changes of a view in which many change together.
const GATHER_MANY: Duration = Duration::from_millis(200);
/// Longest registration that is kept, in bytes: some two hundred times an upstream's own.
const LONGEST_REGISTRATION: usize = 64 * 1024;
/// How long another node may know of a change before the watch that should
/// have told of it counts as dead.
const WATCH_DEAF_AFTER: Duration = Duration::from_millis(300);
/// The same where the change should have come from a relay. Longer, since a
/// large copy takes its time and a second way to it would share the link.
const RELAY_DEAF_AFTER: Duration = Duration::from_millis(900);
/// How long a new watch is given before it counts as dead as well.
const RESTART_PAUSE: Duration = Duration::from_millis(1_200);
/// After this long without word from the granter assignments are read from the
/// store.
const GRANTER_SILENCE: Duration = Duration::from_millis(1_000);

/// How long a node that hears a relay is given to get the nodes from it before it
/// reads them itself.
const TOLD_PATIENCE: Duration = Duration::from_millis(1_000);
/// How long a node that has just started waits for the word of a relay.
const RELAY_PATIENCE: Duration = Duration::from_millis(600);

/// A change that another node knows of.
#[derive(Clone, Copy, Debug)]
struct Behind {
    revision: Revision,
    /// From when on the way by which the change should have come counts as dead.
    deaf_at: Time,
    /// When the watch is given up on.
    restart_at: Time,
}

/// What a node knows.
pub struct Views {
    dialect: Rc<dyn Dialect>,
    replicas: [Replica; ViewName::ALL.len()],
    behind: [Option<Behind>; ViewName::ALL.len()],
    granter_heard: Option<Time>,
    /// Whether this node follows the store itself.
    follows: bool,
    /// Before this the nodes are not read: many start together.
    members_from: Time,
    /// Since when the nodes are known.
    members_since: Option<Time>,
    /// The relays that this node hears.
    pub relays: RelaysHeard,
    /// The upstreams.
    pub directory: Directory,
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Newest assignment of each service.
    pub assignments: BTreeMap<ServiceName, Rc<Assignment>>,
    /// Services whose assignment changed since that was last asked for.
    assigned: BTreeSet<ServiceName>,
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
    strangers: Strangers,
    notices: Vec<ViewNotice>,
}

impl Views {
    /// A node that knows nothing; watches wait up to `wait`.
    pub fn new(dialect: Rc<dyn Dialect>, policy: DirectoryPolicy, wait: Duration) -> Self {
        let keys = *dialect.keys();
        let timing = |gather| ReplicaTiming { wait, gather };
        Self {
            replicas: [
                Replica::new(keys.operator_prefix, timing(GATHER_FEW)),
                Replica::new(keys.upstream_prefix, timing(GATHER_MANY))
                    .with_longest_value(LONGEST_REGISTRATION),
                Replica::new(OwnKeys::MEMBERS, timing(GATHER_FEW)),
                Replica::new(OwnKeys::STATE, timing(GATHER_FEW)),
            ],
            behind: [None; ViewName::ALL.len()],
            granter_heard: None,
            follows: true,
            members_from: Time::ZERO,
            members_since: None,
            relays: RelaysHeard::default(),
            dialect,
            directory: Directory::new(policy),
            configuration: None,
            assignments: BTreeMap::new(),
            assigned: BTreeSet::new(),
            speeds: None,
            suspicions: None,
            nodes: BTreeMap::new(),
            nodes_changed: true,
            granter: None,
            unreadable: UnreadableKeys::default(),
            strangers: Strangers::default(),
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
        self.members_from = time;
    }

    /// Decides whether this node follows the store itself: as a relay, or
    /// since it can't rely on one. A node that has just started gives the
    /// relays time to tell it.
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
        let relies = self.relays.any(now) || now.since(since) < RELAY_PATIENCE;
        let follows = is_relay || !relies;
        if follows != self.follows {
            self.notices.push(ViewNotice::Follows {
                itself: follows,
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
    pub fn follows(&self) -> bool {
        self.follows
    }

    /// Whether neither the store nor a relay keeps some view up.
    pub fn is_troubled(&self, now: Time) -> bool {
        let watched = [ViewName::Operator, ViewName::Upstreams, ViewName::Members];
        let unknown = |view: &ViewName| self.replica(*view).mirror().revision().is_none();
        if !self.follows && self.relays.any(now) {
            return watched.iter().any(unknown);
        }
        watched.iter().any(|view| self.replica(*view).is_troubled())
    }

    /// Whether the registrations of upstreams were read.
    pub fn knows_upstreams(&self) -> bool {
        self.replica(ViewName::Upstreams)
            .mirror()
            .revision()
            .is_some()
    }

    /// Whether enough is known to serve.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.knows_upstreams()
    }

    /// The call that is due for a view.
    pub fn poll(&mut self, now: Time, view: ViewName) -> Option<StoreCall> {
        let known = self.replica(view).mirror().revision().is_some();
        let is_due = match view {
            ViewName::Members if !known => self.reads_members(now),
            _ if self.members_since.is_none() => false,
            ViewName::State if known => self.follows && !self.hears_granter(now),
            _ => self.follows,
        };
        if !is_due && !self.is_deaf(now, view) {
            return None;
        }
        self.replica_mut(view).poll(now)
    }

    /// Whether a node that knows no other is to read them: not while it hears a
    /// relay, from which it has them at no cost to the store.
    fn reads_members(&self, now: Time) -> bool {
        let is_told = self.relays.any(now) && now < self.members_from + TOLD_PATIENCE;
        now >= self.members_from && !is_told
    }

    /// Whether another node has known of a change for so long that the way by
    /// which this node should have heard of it counts as dead.
    fn is_deaf(&self, now: Time, view: ViewName) -> bool {
        let behind = self.behind[view as usize];
        view != ViewName::State && behind.is_some_and(|behind| now >= behind.deaf_at)
    }

    /// Compares a copy with what another node has seen.
    fn compare(&mut self, now: Time, view: ViewName, theirs: Revision) {
        self.caught_up(view);
        if !self.replica(view).lacks(theirs) {
            // Another node's word may be older than this copy.
            return;
        }
        let patience = if self.follows {
            WATCH_DEAF_AFTER
        } else {
            RELAY_DEAF_AFTER
        };
        let Some(behind) = &mut self.behind[view as usize] else {
            self.behind[view as usize] = Some(Behind {
                revision: theirs,
                deaf_at: now + patience,
                restart_at: now + patience,
            });
            return;
        };
        behind.revision = behind.revision.max(theirs);
        if view != ViewName::State && now >= behind.restart_at {
            behind.restart_at = now + RESTART_PAUSE;
            self.restart(now, view);
        }
    }

    /// Notes whether a copy has what another node was ahead by.
    fn caught_up(&mut self, view: ViewName) {
        let behind = self.behind[view as usize];
        if behind.is_some_and(|behind| !self.replica(view).lacks(behind.revision)) {
            self.behind[view as usize] = None;
        }
    }

    /// Whether the granter tells of assignments. A node that has just started
    /// gives it time to.
    fn hears_granter(&self, now: Time) -> bool {
        let heard = self.granter_heard.unwrap_or(Time::ZERO);
        now.since(heard) < GRANTER_SILENCE
    }

    fn restart(&mut self, now: Time, view: ViewName) {
        self.note_restart(view);
        self.replica_mut(view).restart(now);
    }

    fn note_restart(&mut self, view: ViewName) {
        let prefix = self.replica(view).prefix().to_owned();
        self.notices.push(ViewNotice::Restarted { prefix });
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
    pub fn granter_is_here(&mut self, now: Time) {
        self.granter_heard = Some(now);
    }

    /// What this node has seen, for other nodes.
    pub fn own_heads(&self, contact: Option<StoreContact>) -> ViewHeads {
        ViewHeads {
            latest: ViewName::ALL.map(|view| self.replica(view).latest()),
            contact,
        }
    }

    /// Takes an assignment that this node wrote.
    pub fn wrote(&mut self, now: Time, item: Item) {
        let changes = self.replica_mut(ViewName::State).made(item);
        self.apply(now, ViewName::State, changes);
    }

    /// Takes the outcome of a view's call of that generation.
    pub fn handle(&mut self, now: Time, view: ViewName, generation: u32, outcome: StoreOutcome) {
        let was_troubled = self.replica(view).is_troubled();
        let (health, changes) = self.replica_mut(view).handle(now, generation, outcome);
        self.caught_up(view);
        let sound = health == ReplicaHealth::Sound;
        if was_troubled != self.replica(view).is_troubled() {
            let prefix = self.replica(view).prefix().to_owned();
            self.notices.push(ViewNotice::Followed { prefix, sound });
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
        let change = self.directory.confirm_gone(now, id);
        self.note_directory(change);
    }

    /// Takes an upstream's word that it leaves; whether that was news.
    pub fn says_it_leaves(&mut self, now: Time, id: &UpstreamId) -> bool {
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
    pub fn take_assigned(&mut self) -> BTreeSet<ServiceName> {
        std::mem::take(&mut self.assigned)
    }

    /// Entries of a view that can't be used.
    pub fn unusable(&self, view: ViewName) -> UnusableCounts {
        let unknown_service = match view {
            ViewName::Upstreams => self.strangers.count(),
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
