//! What nodes tell one another of their copies, and the copies themselves.

use super::{ViewName, Views};
use beamtray_metastore::{Item, MirrorDelta, Removal, Revision};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use std::time::Duration;

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

/// How a relay stands with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoreContact {
    /// Milliseconds since it asked for the last answer that it got.
    pub age_ms: u16,
    /// Milliseconds since a call got no answer, if that was of late.
    pub trouble_age_ms: Option<u16>,
}

impl StoreContact {
    /// Contact with those ages; ages that don't fit count as the longest.
    pub fn new(age: Duration, trouble_age: Option<Duration>) -> Self {
        Self {
            age_ms: millis(age),
            trouble_age_ms: trouble_age.map(millis),
        }
    }

    /// Time since the last answer was asked for.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Time since a call got no answer, if that was of late.
    pub fn trouble_age(&self) -> Option<Duration> {
        let age = self.trouble_age_ms.map(u64::from);
        age.map(Duration::from_millis)
    }
}

fn millis(age: Duration) -> u16 {
    u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
}

/// Newest changes that a node has seen, in the order of [`ViewName::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ViewHeads {
    /// The revisions.
    pub latest: [Revision; ViewName::ALL.len()],
    /// How it stands with the store, if it is a relay.
    pub contact: Option<StoreContact>,
}

/// A copy of one view, or what it has beyond the asker's.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// The view.
    pub view: ViewName,
    /// Its revision.
    pub at: Revision,
    /// Its items.
    pub items: Vec<Item>,
    /// Keys that are gone; empty if it is whole.
    pub removals: Vec<Removal>,
    /// Whether these are all items, or those that the asker lacks.
    pub is_whole: bool,
}

impl Views {
    /// Takes word of what another node has seen. The views of which it knows
    /// more and that this node has from others.
    pub fn heads(&mut self, now: Time, from: SocketAddr, heads: &ViewHeads) -> Vec<ViewName> {
        if self
            .granter
            .as_ref()
            .is_some_and(|granter| granter.peer_address == from)
        {
            self.granter_heard = Some(now);
        }
        if let Some(contact) = heads.contact {
            self.hear_relay(now, from, contact);
        }
        for (view, theirs) in ViewName::ALL.into_iter().zip(heads.latest) {
            self.compare(now, view, theirs);
        }
        let lacking = ViewName::ALL.into_iter().zip(heads.latest);
        lacking
            .filter(|(view, theirs)| {
                self.is_fetched(now, *view) && self.replica(*view).lacks(*theirs)
            })
            .map(|(view, _)| view)
            .collect()
    }

    /// Views of which other nodes are known to have more, and that this node has
    /// from others.
    pub fn lacking(&self, now: Time) -> Vec<ViewName> {
        let views = ViewName::ALL.into_iter();
        views
            .filter(|view| self.is_fetched(now, *view))
            .filter(|view| self.behind[*view as usize].is_some())
            .collect()
    }

    /// Whether this node has a view from others. One that follows the store
    /// asks others as well once its watch counts as dead: a slow store may take
    /// longer for a large answer than any watch is given.
    fn is_fetched(&self, now: Time, view: ViewName) -> bool {
        view == ViewName::State || !self.follows || self.is_deaf(now, view)
    }

    fn hear_relay(&mut self, now: Time, from: SocketAddr, contact: StoreContact) {
        let trouble_age = contact.trouble_age();
        self.relays.hear(now, from, contact.age(), trouble_age);
        if let Some(age) = trouble_age {
            self.directory.note_store_failure(now - age);
        }
    }

    /// Asks for those views.
    pub fn request(&self, views: &[ViewName]) -> ViewRequest {
        let wanted = views.iter().map(|view| WantedView {
            view: *view,
            at: self.replica(*view).mirror().revision(),
        });
        ViewRequest {
            wanted: wanted.collect(),
        }
    }

    /// What is newer than the asker's copies.
    pub fn answer(&self, request: &ViewRequest) -> Vec<Snapshot> {
        let wanted = request.wanted.iter();
        wanted.filter_map(|wanted| self.snapshot(wanted)).collect()
    }

    fn snapshot(&self, wanted: &WantedView) -> Option<Snapshot> {
        let mirror = self.replica(wanted.view).mirror();
        let newer = |at: &Revision| wanted.at.is_none_or(|theirs| theirs < *at);
        let at = mirror.revision().filter(newer)?;
        let delta = wanted.at.and_then(|theirs| mirror.delta(theirs));
        let is_whole = delta.is_none();
        let delta = delta.unwrap_or_else(|| MirrorDelta {
            present: mirror.items().cloned().collect(),
            absent: Vec::new(),
        });
        Some(Snapshot {
            view: wanted.view,
            at,
            items: delta.present,
            removals: delta.absent,
            is_whole,
        })
    }

    /// Takes another node's copies.
    pub fn adopt(&mut self, now: Time, snapshots: Vec<Snapshot>) {
        for snapshot in snapshots {
            let view = snapshot.view;
            let changes = self.replica_mut(view).adopt(snapshot);
            self.caught_up(view);
            self.apply(now, view, changes);
        }
    }
}
