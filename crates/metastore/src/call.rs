//! Calls to the metadata store and their outcomes.

use borsh::{BorshDeserialize, BorshSerialize};
use std::time::Duration;

/// Era of the store. It increases whenever the store is restored from an older copy, which
/// loses the writes acknowledged since that copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct StoreEra(pub u32);

/// A state of the store: its era, and the number of changes within the era.
///
/// Invariant: a later state compares greater, whatever its number. A store restored from an
/// older copy reuses numbers; by number alone, its state would seem older than the state
/// that it replaces.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct Revision {
    /// Era of the store.
    pub era: StoreEra,
    /// The store's change counter. 0 denotes an absent key.
    pub number: u64,
}

impl Revision {
    /// Revision of an absent key.
    pub const ABSENT: Self = Self::new(0);

    /// Creates a revision of the first era.
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

/// Id of a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its latest change.
    pub revision: Revision,
}

/// A precondition of a transaction: the revision that a key must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Required revision; [`Revision::ABSENT`] (number 0) for an absent key.
    pub revision: Revision,
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: Vec<u8>,
    /// Lease that the key is attached to: the key is removed when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Writes and removals that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Keys to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// A call to the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads a page of the keys with a prefix.
    Range {
        /// The prefix.
        prefix: String,
        /// Last key of the previous page.
        after: Option<String>,
    },
    /// Waits for changes of keys with a prefix.
    Watch {
        /// The prefix.
        prefix: String,
        /// Report changes after this revision.
        after: Revision,
        /// Maximum time to wait.
        wait: Duration,
    },
    /// Commits a transaction.
    Commit(Transaction),
    /// Creates a lease.
    GrantLease {
        /// Time to live without renewal.
        ttl: Duration,
    },
    /// Renews a lease.
    KeepLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Revokes a lease, which removes its keys.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
}

/// A change reported by a watch.
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

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The key exists.
    Found(Item),
    /// The key or lease does not exist.
    Absent,
    /// A page of keys.
    Page {
        /// Keys of the page.
        items: Vec<Item>,
        /// Whether more pages follow.
        more: bool,
        /// Revision of the store when the page was read.
        at: Revision,
    },
    /// Changes of keys with a prefix, possibly none.
    Events {
        /// The changes, oldest first.
        events: Vec<StoreEvent>,
        /// Revision to continue watching from.
        at: Revision,
    },
    /// The requested changes are no longer available, since the store has compacted them.
    Compacted,
    /// The transaction was committed.
    Committed {
        /// Revision of the transaction.
        revision: Revision,
    },
    /// A precondition did not hold; nothing was changed.
    Conflict {
        /// Current state of the existing keys among the preconditions.
        items: Vec<Item>,
    },
    /// The lease is in force.
    Leased {
        /// The lease; none in the response to a renewal.
        lease: Option<LeaseId>,
        /// Time to live, counted from the arrival of the call.
        ttl: Duration,
    },
    /// The lease was revoked.
    Revoked,
    /// Refused because of rate limiting or temporary unavailability; nothing was done.
    Refused,
    /// No response. A write may have taken effect, or may take effect later.
    Unknown,
}

impl StoreOutcome {
    /// Assigns the era of the response to all revisions of the outcome.
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
    /// Returns the revision of the change.
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
