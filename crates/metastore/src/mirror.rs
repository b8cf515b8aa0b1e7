//! A node's local mirror of the keys with a given prefix.
//!
//! Invariant: the revision of a mirror never decreases, whether it is updated from the store
//! or from another node. Events are applied only within the mirror's own era: events of a
//! later era start from a state of the store that the mirror never had, so a complete
//! snapshot is needed first.

use crate::call::{Item, Revision, StoreEvent};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;

/// A difference between two states of a mirror.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorChange {
    /// A key is present with this value.
    Present(Item),
    /// A key is absent.
    Absent(String),
}

/// Maximum number of removals that a mirror remembers.
const MAX_REMOVALS: usize = 1_024;

/// The changes of a mirror since an older revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MirrorDelta {
    /// Keys written since then.
    pub present: Vec<Item>,
    /// Keys removed since then, with the revisions of the removals.
    pub absent: Vec<Removal>,
}

/// The removal of a key.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Removal {
    /// The key.
    pub key: String,
    /// Revision of the removal, or a later one.
    pub revision: Revision,
}

/// A node's local mirror of the keys with a given prefix.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: Option<Revision>,
    items: BTreeMap<String, Item>,
    /// Keys removed after `removals_since`.
    removals: BTreeMap<String, Revision>,
    removals_since: Revision,
}

impl Mirror {
    /// Returns the revision up to which the mirror is complete; `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the item of a key, if present.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns all items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Replaces the contents by a complete snapshot that is current at `at`. A snapshot older
    /// than the mirror is ignored.
    pub fn replace(&mut self, at: Revision, items: Vec<Item>) -> Vec<MirrorChange> {
        if self.revision.is_some_and(|known| at < known) {
            return Vec::new();
        }
        if self.revision.is_none_or(|known| known.era != at.era) {
            // Removals of an earlier era say nothing about this one.
            self.removals.clear();
            self.removals_since = at;
        }
        self.revision = Some(at);
        let mut changes = Vec::new();
        let mut next: BTreeMap<String, Item> = BTreeMap::new();
        for item in items {
            // A page of the snapshot may be older than an event applied since.
            let newest = match self.items.get(&item.key) {
                Some(known) if known.revision > item.revision => known.clone(),
                _ => item,
            };
            next.insert(newest.key.clone(), newest);
        }
        for key in self.items.keys() {
            if !next.contains_key(key) {
                changes.push(MirrorChange::Absent(key.clone()));
                self.removals.insert(key.clone(), at);
            }
        }
        self.trim_removals();
        for (key, item) in &next {
            if self
                .items
                .get(key)
                .is_none_or(|known| known.revision != item.revision)
            {
                changes.push(MirrorChange::Present(item.clone()));
            }
        }
        self.items = next;
        changes
    }

    /// Applies the events up to `at`.
    pub fn apply(&mut self, at: Revision, events: Vec<StoreEvent>) -> Vec<MirrorChange> {
        if self
            .revision
            .is_some_and(|known| at < known || at.era != known.era)
        {
            return Vec::new();
        }
        if self.revision.is_none() {
            self.removals_since = at;
        }
        self.revision = Some(at);
        events
            .into_iter()
            .filter_map(|event| self.apply_event(event))
            .collect()
    }

    fn apply_event(&mut self, event: StoreEvent) -> Option<MirrorChange> {
        match event {
            StoreEvent::Put(item) => {
                let known = self.items.get(&item.key);
                if known.is_some_and(|known| known.revision >= item.revision) {
                    return None;
                }
                self.items.insert(item.key.clone(), item.clone());
                Some(MirrorChange::Present(item))
            }
            StoreEvent::Removed { key, revision } => {
                let known = self.items.get(&key)?;
                if known.revision > revision {
                    return None;
                }
                self.items.remove(&key);
                self.removals.insert(key.clone(), revision);
                self.trim_removals();
                Some(MirrorChange::Absent(key))
            }
        }
    }

    /// Returns the changes since a mirror that is complete up to `since`, or `None` if not all
    /// removals since then are remembered.
    pub fn delta(&self, since: Revision) -> Option<MirrorDelta> {
        if since < self.removals_since {
            return None;
        }
        let newer = self.items.values().filter(|item| item.revision > since);
        let removed = self
            .removals
            .iter()
            .filter(|(key, revision)| **revision > since && !self.items.contains_key(*key));
        Some(MirrorDelta {
            present: newer.cloned().collect(),
            absent: removed
                .map(|(key, revision)| Removal {
                    key: key.clone(),
                    revision: *revision,
                })
                .collect(),
        })
    }

    /// Drops the older half of the removals when there are too many.
    fn trim_removals(&mut self) {
        if self.removals.len() <= MAX_REMOVALS {
            return;
        }
        let mut revisions: Vec<Revision> = self.removals.values().copied().collect();
        revisions.sort_unstable();
        self.removals_since = revisions[revisions.len() / 2];
        let from = self.removals_since;
        self.removals.retain(|_, revision| *revision > from);
    }
}
