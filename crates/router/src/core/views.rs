//! What a node knows: configuration, upstreams, assignments, other nodes.
//!
//! Views come from the store's watches, and from other nodes while the store
//! does not answer. Neither a configuration nor a copy ever goes back.

use crate::core::records::{NodeRecord, OwnKeys};
use crate::core::replica::{Replica, ReplicaHealth, ReplicaTiming};
use beamtray_catalog::{Configuration, Directory, DirectoryChange, DirectoryPolicy, UpstreamId};
use beamtray_dialect::Dialect;
use beamtray_dispatch::SpeedRecord;
use beamtray_metastore::{GranterRecord, Item, MirrorChange, Revision, StoreCall, StoreOutcome};
use beamtray_sharding::AssignmentRecord;
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause after changes of a view in which few change together.
const GATHER_FEW: Duration = Duration::from_millis(30);
/// Pause after changes of a view in which many change together.
const GATHER_MANY: Duration = Duration::from_millis(200);
/// How long another node may know of a change before the watch that should
/// have told of it counts as dead.
const DEAF_AFTER: Duration = Duration::from_millis(300);
/// After this long without word from the granter assignments are read from the
/// store.
const GRANTER_SILENCE: Duration = Duration::from_millis(1_000);

/// Which replica a call or a snapshot belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ViewName {
    /// What operators write.
    Operator,
    /// Registrations of upstreams.
    Upstreams,
    /// Nodes and the granter.
    Members,
    /// What the granter writes.
    State,
}

impl ViewName {
    /// All views.
    pub const ALL: [ViewName; 4] = [
        ViewName::Operator,
        ViewName::Upstreams,
        ViewName::Members,
        ViewName::State,
    ];
}

/// A view that a node wants to have from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct WantedView {
    /// The view.
    pub view: ViewName,
    /// Revision of the copy that it has.
    pub at: Option<Revision>,
}

/// Asks another node for what is newer than the asker's copies.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ViewRequest {
    /// What is wanted.
    pub wanted: Vec<WantedView>,
}

/// Newest changes that a node has seen, in the order of [`ViewName::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ViewHeads {
    /// The revisions.
    pub latest: [Revision; ViewName::ALL.len()],
}

/// A copy of one view.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// The view.
    pub view: ViewName,
    /// Its revision.
    pub at: Revision,
    /// Its items.
    pub items: Vec<Item>,
    /// Whether these are all items, or those that the asker lacks.
    pub is_whole: bool,
}

/// A belief that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewNotice {
    /// A configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// How many routes it has.
        routes: usize,
    },
    /// A value in the store can't be read; the older one stays in force.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// The directory changed.
    Directory(DirectoryChange),
    /// A new assignment of a service.
    Assigned {
        /// The service.
        service: ServiceName,
        /// Term of the granter that wrote it.
        epoch: u64,
        /// Its number in that term.
        sequence: u64,
    },
    /// Another granter, or none.
    Granter {
        /// The node.
        node: Option<String>,
        /// Its term.
        epoch: u64,
    },
    /// A watch was given up on, since others know more.
    Restarted {
        /// Prefix of the view.
        prefix: String,
    },
    /// A view is not kept up by the store any more, or is again.
    Followed {
        /// Prefix of the view.
        prefix: String,
        /// Whether the store answers.
        sound: bool,
    },
}

/// What a node knows.
pub struct Views {
    dialect: Rc<dyn Dialect>,
    replicas: [Replica; ViewName::ALL.len()],
    behind_since: [Option<Time>; ViewName::ALL.len()],
    granter_heard: Option<Time>,
    /// The upstreams.
    pub directory: Directory,
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Newest assignment of each service.
    pub assignments: BTreeMap<ServiceName, Rc<AssignmentRecord>>,
    /// Speeds that an earlier process learned, until they are taken.
    pub speeds: Option<SpeedRecord>,
    /// Nodes that are registered.
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The granter.
    pub granter: Option<GranterRecord>,
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
                Replica::new(keys.upstream_prefix, timing(GATHER_MANY)),
                Replica::new(OwnKeys::MEMBERS, timing(GATHER_FEW)),
                Replica::new(OwnKeys::STATE, timing(GATHER_FEW)),
            ],
            behind_since: [None; ViewName::ALL.len()],
            granter_heard: None,
            dialect,
            directory: Directory::new(policy),
            configuration: None,
            assignments: BTreeMap::new(),
            speeds: None,
            nodes: BTreeMap::new(),
            granter: None,
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

    /// Whether the store fails to keep some view up.
    pub fn is_troubled(&self) -> bool {
        let watched = [ViewName::Operator, ViewName::Upstreams, ViewName::Members];
        watched.iter().any(|view| self.replica(*view).is_troubled())
    }

    /// Whether enough is known to serve.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.replica(ViewName::Upstreams).mirror().at().is_some()
    }

    /// The call that is due for a view.
    pub fn poll(&mut self, now: Time, view: ViewName) -> Option<StoreCall> {
        let known = self.replica(view).mirror().at().is_some();
        if view == ViewName::State && known && self.hears_granter(now) {
            return None;
        }
        self.replica_mut(view).poll(now)
    }

    /// Whether the granter tells of assignments. A node that has just started
    /// gives it time to.
    fn hears_granter(&self, now: Time) -> bool {
        let heard = self.granter_heard.unwrap_or(Time::ZERO);
        now.since(heard) < GRANTER_SILENCE
    }

    /// Takes word of what another node has seen; whether it knows of newer
    /// assignments.
    pub fn heads(&mut self, now: Time, from: SocketAddr, heads: &ViewHeads) -> bool {
        if self
            .granter
            .as_ref()
            .is_some_and(|granter| granter.peers == from)
        {
            self.granter_heard = Some(now);
        }
        for (view, theirs) in ViewName::ALL.into_iter().zip(heads.latest) {
            if view == ViewName::State {
                return self.replica(view).lacks(theirs);
            }
            let lacks = self.replica(view).lacks(theirs);
            let since = &mut self.behind_since[view as usize];
            match (lacks, *since) {
                (true, Some(since)) if now.since(since) >= DEAF_AFTER => {
                    self.behind_since[view as usize] = None;
                    self.restart(now, view);
                }
                (true, None) => *since = Some(now),
                (true, Some(_)) => {}
                // Another node's word may be older than this copy.
                (false, _) => {}
            }
        }
        false
    }

    fn restart(&mut self, now: Time, view: ViewName) {
        let prefix = self.replica(view).prefix().to_owned();
        self.notices.push(ViewNotice::Restarted { prefix });
        self.replica_mut(view).restart(now);
    }

    /// Gives up on all watches: the path to the store was dead for a while.
    pub fn restart_all(&mut self, now: Time) {
        for view in ViewName::ALL {
            self.restart(now, view);
        }
    }

    /// Notes that this node is the granter itself.
    pub fn granter_is_here(&mut self, now: Time) {
        self.granter_heard = Some(now);
    }

    /// What this node has seen, for other nodes.
    pub fn own_heads(&self) -> ViewHeads {
        ViewHeads {
            latest: ViewName::ALL.map(|view| self.replica(view).latest()),
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
        if health == ReplicaHealth::Sound {
            self.behind_since[view as usize] = None;
        }
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
        let change = self.directory.proved_gone(now, id);
        self.note_directory(change);
    }

    /// Takes another node's copies.
    pub fn adopt(&mut self, now: Time, snapshots: Vec<Snapshot>) {
        for snapshot in snapshots {
            let replica = self.replica_mut(snapshot.view);
            let changes = replica.adopt(snapshot.at, snapshot.items, snapshot.is_whole);
            self.apply(now, snapshot.view, changes);
        }
    }

    /// Asks for those views.
    pub fn request(&self, views: &[ViewName]) -> ViewRequest {
        let wanted = views.iter().map(|view| WantedView {
            view: *view,
            at: self.replica(*view).mirror().at(),
        });
        ViewRequest {
            wanted: wanted.collect(),
        }
    }

    /// The copies that are newer than the asker's.
    pub fn answer(&self, request: &ViewRequest) -> Vec<Snapshot> {
        let wanted = request.wanted.iter();
        wanted
            .filter_map(|wanted| {
                let mirror = self.replica(wanted.view).mirror();
                let newer = |at: &Revision| wanted.at.is_none_or(|theirs| theirs < *at);
                let at = mirror.at().filter(newer)?;
                // Nothing is ever removed from this view.
                let lacks = wanted.at.filter(|_| wanted.view == ViewName::State);
                let items = mirror.items();
                Some(Snapshot {
                    view: wanted.view,
                    at,
                    items: items
                        .filter(|item| lacks.is_none_or(|theirs| item.revision > theirs))
                        .cloned()
                        .collect(),
                    is_whole: lacks.is_none(),
                })
            })
            .collect()
    }

    /// Beliefs that changed since the last call.
    pub fn take_notices(&mut self) -> Vec<ViewNotice> {
        std::mem::take(&mut self.notices)
    }

    fn apply(&mut self, now: Time, view: ViewName, mut changes: Vec<MirrorChange>) {
        // The newest registration at an address counts, so in their order.
        changes.sort_by_key(|change| match change {
            MirrorChange::Absent(_) => Revision(0),
            MirrorChange::Present(item) => item.revision,
        });
        if view == ViewName::Upstreams {
            self.vanish(now, &changes);
        }
        for change in changes {
            match view {
                ViewName::Operator => self.apply_operator(change),
                ViewName::Upstreams => self.apply_upstream(now, change),
                ViewName::Members | ViewName::State => self.apply_own(change),
            }
        }
    }

    fn apply_operator(&mut self, change: MirrorChange) {
        let MirrorChange::Present(item) = change else {
            return;
        };
        if item.key != self.dialect.keys().configuration {
            return;
        }
        let decoded = self.dialect.decode_configuration(&item.value);
        let configuration = match decoded {
            Ok(configuration) => configuration,
            Err(error) => return self.unreadable(item.key, error.to_string()),
        };
        if let Err(error) = configuration.check() {
            return self.unreadable(item.key, error.to_string());
        }
        let in_force = self.configuration.as_ref();
        if in_force.is_some_and(|known| known.version >= configuration.version) {
            return;
        }
        self.notices.push(ViewNotice::Configured {
            version: configuration.version.0,
            routes: configuration.routes.len(),
        });
        self.configuration = Some(Rc::new(configuration));
    }

    fn unreadable(&mut self, key: String, cause: String) {
        self.notices.push(ViewNotice::Unreadable { key, cause });
    }

    fn apply_upstream(&mut self, now: Time, change: MirrorChange) {
        match change {
            MirrorChange::Present(item) => {
                match self.dialect.decode_upstream(&item.key, &item.value) {
                    Ok(record) => {
                        let changes = self.directory.register(now, record);
                        self.note_directory(changes);
                    }
                    Err(error) => self.unreadable(item.key, error.to_string()),
                }
            }
            // Taken together before.
            MirrorChange::Absent(_) => {}
        }
    }

    fn vanish(&mut self, now: Time, changes: &[MirrorChange]) {
        let prefix = self.dialect.keys().upstream_prefix;
        let absent = changes.iter().filter_map(|change| match change {
            MirrorChange::Absent(key) => key.strip_prefix(prefix),
            MirrorChange::Present(_) => None,
        });
        let ids: Vec<UpstreamId> = absent.map(|id| UpstreamId(id.to_owned())).collect();
        if !ids.is_empty() {
            let changes = self.directory.vanish(now, &ids);
            self.note_directory(changes);
        }
    }

    fn note_directory(&mut self, changes: impl IntoIterator<Item = DirectoryChange>) {
        self.notices
            .extend(changes.into_iter().map(ViewNotice::Directory));
    }

    fn apply_own(&mut self, change: MirrorChange) {
        match change {
            MirrorChange::Present(item) => self.apply_record(item),
            MirrorChange::Absent(key) => {
                if key == OwnKeys::GRANTER {
                    let epoch = self.granter.take().map_or(0, |granter| granter.epoch.0);
                    self.notices.push(ViewNotice::Granter { node: None, epoch });
                } else if let Some(name) = key.strip_prefix(OwnKeys::NODES) {
                    self.nodes.remove(name);
                }
            }
        }
    }

    fn apply_record(&mut self, item: Item) {
        if let Some(service) = item.key.strip_prefix(OwnKeys::ASSIGNMENTS) {
            let service = ServiceName::from(service);
            match AssignmentRecord::try_from_slice(&item.value) {
                Ok(record) => self.assigned(service, record),
                Err(error) => self.unreadable(item.key.clone(), error.to_string()),
            }
        } else if let Some(name) = item.key.strip_prefix(OwnKeys::NODES) {
            if let Ok(record) = NodeRecord::try_from_slice(&item.value) {
                self.nodes.insert(name.to_owned(), record);
            }
        } else if item.key == OwnKeys::SPEEDS {
            self.speeds = SpeedRecord::try_from_slice(&item.value).ok();
        } else if item.key == OwnKeys::GRANTER
            && let Ok(record) = GranterRecord::try_from_slice(&item.value)
        {
            self.notices.push(ViewNotice::Granter {
                node: Some(record.node.clone()),
                epoch: record.epoch.0,
            });
            self.granter = Some(record);
        }
    }

    fn assigned(&mut self, service: ServiceName, record: AssignmentRecord) {
        let known = self.assignments.get(&service);
        let order = |record: &AssignmentRecord| (record.epoch, record.sequence);
        if known.is_some_and(|known| order(known) >= order(&record)) {
            return;
        }
        self.notices.push(ViewNotice::Assigned {
            service: service.clone(),
            epoch: record.epoch.0,
            sequence: record.sequence,
        });
        self.assignments.insert(service, Rc::new(record));
    }
}
