//! A node's copy of the keys below one prefix.
//!
//! Invariant: the revision of a copy never falls, whichever way it was filled:
//! by the store itself or by another node. Changes are taken in the copy's own era only:
//! those of a later one begin at a state of the store that the copy never had, so it is
//! filled from a whole reading first.

use crate::call::{Item, Revision, StoreEvent};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;

/// One difference between two states of a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorChange {
    /// A key is there with this value.
    Present(Item),
    /// A key is not there.
    Absent(String),
}

/// Most removals that a copy remembers.
const MAX_REMOVALS: usize = 1_024;

/// What a copy has beyond an older one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MirrorDelta {
    /// Keys that were written since.
    pub present: Vec<Item>,
    /// Keys that were removed since, and when.
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

/// A node's copy of the keys below one prefix.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: Option<Revision>,
    items: BTreeMap<String, Item>,
    /// Keys that were removed after `removals_since`.
    removals: BTreeMap<String, Revision>,
    removals_since: Revision,
}

impl Mirror {
    /// Revision up to which the copy is known to be whole; none before the
    /// first reading.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The key, if it is there.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// All keys.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Takes a whole reading, current at `at`. An older one than the copy is
    /// ignored.
    pub fn replace(&mut self, at: Revision, items: Vec<Item>) -> Vec<MirrorChange> {
        if self.revision.is_some_and(|known| at < known) {
            return Vec::new();
        }
        if self.revision.is_none_or(|known| known.era != at.era) {
            // What was removed in an era before tells nothing of this one.
            self.removals.clear();
            self.removals_since = at;
        }
        self.revision = Some(at);
        let mut changes = Vec::new();
        let mut next: BTreeMap<String, Item> = BTreeMap::new();
        for item in items {
            // A page read earlier may be older than what a watch told since.
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

    /// Takes the changes up to `at`.
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

    /// What this copy has beyond one that is whole up to `since`; `None` when
    /// it does not remember all removals since then.
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

    /// Forgets the older half of the removals when there are too many.
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
