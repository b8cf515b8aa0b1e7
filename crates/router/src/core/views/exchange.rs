//! Exchange of view revisions and snapshots between nodes.

use super::{ViewName, Views};
use beamtray_metastore::{Item, MirrorDelta, Removal, Revision};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A view that a node requests from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct WantedView {
    /// The requested view.
    pub view: ViewName,
    /// Revision of the requester's replica, if it has one.
    pub at: Option<Revision>,
}

/// Asks another node for everything newer than the requester's replicas.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ViewRequest {
    /// The requested views.
    pub wanted: Vec<WantedView>,
}

/// A relay's contact with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoreContact {
    /// Milliseconds since the last successful store call was sent.
    pub age_ms: u16,
    /// Milliseconds since a call last failed, if that was recent.
    pub failure_age_ms: Option<u16>,
}

impl StoreContact {
    /// Creates a contact with the given ages, capped at the largest value that fits.
    pub fn new(age: Duration, failure_age: Option<Duration>) -> Self {
        Self {
            age_ms: millis(age),
            failure_age_ms: failure_age.map(millis),
        }
    }

    /// Time since the last successful store call was sent.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Time since a call last failed, if that was recent.
    pub fn failure_age(&self) -> Option<Duration> {
        let age = self.failure_age_ms.map(u64::from);
        age.map(Duration::from_millis)
    }
}

fn millis(age: Duration) -> u16 {
    u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
}

/// The latest revisions that a node has seen, in the order of [`ViewName::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LatestRevisions {
    /// The latest revision of each view.
    pub latest: [Revision; ViewName::ALL.len()],
    /// The node's contact with the store, if it is a relay.
    pub contact: Option<StoreContact>,
}

/// A full snapshot of one view, or a delta against the requester's replica.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// The view concerned.
    pub view: ViewName,
    /// The view's revision.
    pub at: Revision,
    /// All items, or those that the requester lacks.
    pub items: Vec<Item>,
    /// The removed keys; empty in a full snapshot.
    pub removals: Vec<Removal>,
    /// Whether this is a full snapshot rather than a delta.
    pub is_full: bool,
}

impl Views {
    /// Handles the latest revisions of another node. Returns the views in which that node is ahead
    /// and that this node fetches from other nodes.
    pub fn handle_revisions(
        &mut self,
        now: Time,
        from: SocketAddr,
        revisions: &LatestRevisions,
    ) -> Vec<ViewName> {
        if self
            .granter
            .as_ref()
            .is_some_and(|granter| granter.peer_address == from)
        {
            self.granter_heard_at = Some(now);
        }
        if let Some(contact) = revisions.contact {
            self.record_relay_contact(now, from, contact);
        }
        for (view, theirs) in ViewName::ALL.into_iter().zip(revisions.latest) {
            self.compare_revision(now, view, theirs);
        }
        let lacking = ViewName::ALL.into_iter().zip(revisions.latest);
        lacking
            .filter(|(view, theirs)| {
                self.is_fetched(now, *view) && self.replica(*view).is_behind(*theirs)
            })
            .map(|(view, _)| view)
            .collect()
    }

    /// Views in which other nodes are known to be ahead and that this node fetches from them.
    pub fn lacking(&self, now: Time) -> Vec<ViewName> {
        let views = ViewName::ALL.into_iter();
        views
            .filter(|view| self.is_fetched(now, *view))
            .filter(|view| self.lag[*view as usize].is_some())
            .collect()
    }

    /// Whether this node fetches a view from other nodes. A node that follows the store does so as
    /// well once its watch is considered stalled: a slow store may take longer to return a large
    /// result than any watch is allowed.
    fn is_fetched(&self, now: Time, view: ViewName) -> bool {
        view == ViewName::State || !self.follows || self.is_stalled(now, view)
    }

    fn record_relay_contact(&mut self, now: Time, from: SocketAddr, contact: StoreContact) {
        let failure_age = contact.failure_age();
        self.relays.record(now, from, contact.age(), failure_age);
        if let Some(age) = failure_age {
            self.directory.note_store_failure(now - age);
        }
    }

    /// Creates a request for the given views.
    pub fn request(&self, views: &[ViewName]) -> ViewRequest {
        let wanted = views.iter().map(|view| WantedView {
            view: *view,
            at: self.replica(*view).mirror().revision(),
        });
        ViewRequest {
            wanted: wanted.collect(),
        }
    }

    /// Answers a request with everything newer than the requester's replicas.
    pub fn answer(&self, request: &ViewRequest) -> Vec<Snapshot> {
        let wanted = request.wanted.iter();
        wanted.filter_map(|wanted| self.snapshot(wanted)).collect()
    }

    fn snapshot(&self, wanted: &WantedView) -> Option<Snapshot> {
        let mirror = self.replica(wanted.view).mirror();
        let newer = |at: &Revision| wanted.at.is_none_or(|theirs| theirs < *at);
        let at = mirror.revision().filter(newer)?;
        let delta = wanted.at.and_then(|theirs| mirror.delta(theirs));
        let is_full = delta.is_none();
        let delta = delta.unwrap_or_else(|| MirrorDelta {
            present: mirror.items().cloned().collect(),
            absent: Vec::new(),
        });
        Some(Snapshot {
            view: wanted.view,
            at,
            items: delta.present,
            removals: delta.absent,
            is_full,
        })
    }

    /// Adopts snapshots of another node.
    pub fn adopt(&mut self, now: Time, snapshots: Vec<Snapshot>) {
        for snapshot in snapshots {
            let view = snapshot.view;
            let changes = self.replica_mut(view).adopt_snapshot(snapshot);
            self.clear_lag(view);
            self.apply(now, view, changes);
        }
    }
}
