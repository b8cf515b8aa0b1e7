//! Calls to the metadata store and how they end.

use borsh::{BorshDeserialize, BorshSerialize};
use std::time::Duration;

/// Number of the store's life: it rises whenever the store comes back from an older copy of
/// itself, which takes back what it had acknowledged since.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct StoreEra(pub u32);

/// A state of the store: its era, and its counter of changes in that era.
///
/// Invariant: a later state is the greater one, whatever its counter says. A store that comes
/// back from an older copy gives numbers out again; by numbers alone a reading of it would
/// seem older than what it is to replace.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct Revision {
    /// The era.
    pub era: StoreEra,
    /// The store's counter of changes. 0 stands for an absent key.
    pub number: u64,
}

impl Revision {
    /// The revision of a key that is absent.
    pub const ABSENT: Self = Self::new(0);

    /// A revision of the first era.
    pub const fn new(number: u64) -> Self {
        Self {
            era: StoreEra(0),
            number,
        }
    }

    fn set_era(&mut self, era: StoreEra) {
        self.era = era;
    }
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// One key as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Its latest change.
    pub revision: Revision,
}

/// A key must have this revision for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Its revision; 0 for an absent key.
    pub revision: Revision,
}

/// One key to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: Vec<u8>,
    /// Lease with whose end the key vanishes.
    pub lease: Option<LeaseId>,
}

/// Writes that happen together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// Keys to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads a page of the keys below a prefix.
    Range {
        /// The prefix.
        prefix: String,
        /// Last key of the page before.
        after: Option<String>,
    },
    /// Waits for changes below a prefix.
    Watch {
        /// The prefix.
        prefix: String,
        /// Changes after this revision.
        after: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Writes under conditions.
    Commit(Transaction),
    /// Makes a lease.
    GrantLease {
        /// Its life without renewal.
        ttl: Duration,
    },
    /// Renews a lease.
    KeepLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Put(Item),
    /// A key was removed, or its lease ended.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The key.
    Found(Item),
    /// There is no such key, or no such lease.
    Absent,
    /// A page of keys.
    Page {
        /// The keys.
        items: Vec<Item>,
        /// Whether another page follows.
        more: bool,
        /// The store's revision at the reading.
        at: Revision,
    },
    /// Changes below a prefix, maybe none.
    Events {
        /// The changes, oldest first.
        events: Vec<StoreEvent>,
        /// Revision to continue from.
        at: Revision,
    },
    /// The store has forgotten the changes asked for.
    Compacted,
    /// The transaction took effect.
    Committed {
        /// Revision of the change.
        revision: Revision,
    },
    /// A condition did not hold; nothing was done.
    Conflict {
        /// Keys of the conditions that exist, as they stand.
        items: Vec<Item>,
    },
    /// The lease is in force.
    Leased {
        /// The lease; none in the answer to a renewal.
        lease: Option<LeaseId>,
        /// Its life, counted from the arrival of the call.
        ttl: Duration,
    },
    /// The lease ended.
    Revoked,
    /// Refused, for its rate or for now; nothing was done.
    Refused,
    /// No answer. A write may have taken effect, or take effect later.
    Unknown,
}

impl StoreOutcome {
    /// The same, as an answer of the store in that era.
    pub fn with_era(mut self, era: StoreEra) -> Self {
        match &mut self {
            Self::Found(item) => item.revision.set_era(era),
            Self::Page { items, at, .. } => {
                set_items_era(era, items);
                at.set_era(era);
            }
            Self::Events { events, at } => {
                for event in events {
                    event.revision_mut().set_era(era);
                }
                at.set_era(era);
            }
            Self::Committed { revision } => revision.set_era(era),
            Self::Conflict { items } => set_items_era(era, items),
            Self::Absent
            | Self::Compacted
            | Self::Leased { .. }
            | Self::Revoked
            | Self::Refused
            | Self::Unknown => {}
        }
        self
    }
}

fn set_items_era(era: StoreEra, items: &mut [Item]) {
    for item in items {
        item.revision.set_era(era);
    }
}

impl StoreEvent {
    /// The revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }

    fn revision_mut(&mut self) -> &mut Revision {
        match self {
            Self::Put(item) => &mut item.revision,
            Self::Removed { revision, .. } => revision,
        }
    }
}
