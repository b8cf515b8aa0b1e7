//! The slices of one service: contiguous ranges that partition the hash space.

use beamtray_types::{Fence, KeyHash, ServerName, SliceRange};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};

/// Ownership of a slice.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Ownership {
    /// No server may act for the slice.
    #[default]
    Unassigned,
    /// Owned by one server under a fencing token.
    Owned {
        /// The owner.
        server: ServerName,
        /// Fencing token of the assignment.
        fence: Fence,
    },
    /// Held by the old owner until it releases the slice or its grant expires.
    Revoking {
        /// The old owner.
        from: ServerName,
        /// Fencing token of the old owner.
        fence: Fence,
        /// The next owner, if already chosen.
        to: Option<ServerName>,
    },
}

impl Ownership {
    /// Fencing token of the current ownership or of the one being revoked.
    pub fn fence(&self) -> Option<Fence> {
        match self {
            Ownership::Unassigned => None,
            Ownership::Owned { fence, .. } | Ownership::Revoking { fence, .. } => Some(*fence),
        }
    }

    /// The owner; `None` while the slice is unassigned or being revoked.
    pub fn owner(&self) -> Option<&ServerName> {
        match self {
            Ownership::Owned { server, .. } => Some(server),
            _ => None,
        }
    }

    /// The server that may still act for the slice.
    pub fn holder(&self) -> Option<&ServerName> {
        match self {
            Ownership::Unassigned => None,
            Ownership::Owned { server, .. } => Some(server),
            Ownership::Revoking { from, .. } => Some(from),
        }
    }
}

/// One slice.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Slice {
    /// Highest hash of the slice; its lowest is its key in the table.
    pub last: u64,
    /// Its ownership.
    pub ownership: Ownership,
}

/// The slices of one service, keyed by their lowest hash.
///
/// Invariant: the slices cover the hash space without gaps or overlaps, and
/// every operation preserves this. Keys in a gap could never be served.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SliceTable {
    slices: BTreeMap<u64, Slice>,
}

impl SliceTable {
    /// Creates `count` unassigned slices of equal size.
    pub fn even(count: u32) -> Self {
        let slices = SliceRange::split_evenly(count)
            .into_iter()
            .map(|range| {
                let slice = Slice {
                    last: range.last,
                    ownership: Ownership::Unassigned,
                };
                (range.first, slice)
            })
            .collect();
        Self { slices }
    }

    /// Returns the slice that contains `hash`.
    pub fn find(&self, hash: KeyHash) -> Option<(SliceRange, &Slice)> {
        let (first, slice) = self.slices.range(..=hash.0).next_back()?;
        let range = SliceRange {
            first: *first,
            last: slice.last,
        };
        Some((range, slice))
    }

    /// Iterates over all slices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (SliceRange, &Slice)> {
        self.slices.iter().map(|(first, slice)| {
            let range = SliceRange {
                first: *first,
                last: slice.last,
            };
            (range, slice)
        })
    }

    /// Number of slices.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// Whether the table has no slices, as is the case before the first declaration.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Returns the slice that begins at `first`.
    pub fn get(&self, first: u64) -> Option<&Slice> {
        self.slices.get(&first)
    }

    pub(crate) fn get_mut(&mut self, first: u64) -> Option<&mut Slice> {
        self.slices.get_mut(&first)
    }

    /// Starts revoking every slice owned by one of `servers`.
    pub(crate) fn revoke_from(&mut self, servers: &BTreeSet<ServerName>) {
        for slice in self.slices.values_mut() {
            if let Ownership::Owned { server, fence } = &slice.ownership
                && servers.contains(server)
            {
                slice.ownership = Ownership::Revoking {
                    from: server.clone(),
                    fence: *fence,
                    to: None,
                };
            }
        }
    }

    /// Splits the slice at `first` so that its upper part begins at `at`.
    pub(crate) fn split(&mut self, first: u64, at: u64) {
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        if at <= first || at > slice.last {
            return;
        }
        let upper = slice.clone();
        slice.last = at - 1;
        self.slices.insert(at, upper);
    }

    /// Merges the slice at `first` with the next one if one server owns both.
    /// The merged slice takes the higher fencing token, so requests under the
    /// lower one are rejected rather than accepted by mistake.
    pub(crate) fn merge(&mut self, first: u64) {
        let Some(lower) = self.slices.get(&first) else {
            return;
        };
        let Some(next) = lower.last.checked_add(1) else {
            return;
        };
        let Some(upper) = self.slices.get(&next) else {
            return;
        };
        let (Some(owner), Some(other)) = (lower.ownership.owner(), upper.ownership.owner()) else {
            return;
        };
        if owner != other {
            return;
        }
        let merged = Slice {
            last: upper.last,
            ownership: Ownership::Owned {
                server: owner.clone(),
                fence: lower
                    .ownership
                    .fence()
                    .max(upper.ownership.fence())
                    .unwrap_or_default(),
            },
        };
        self.slices.remove(&next);
        self.slices.insert(first, merged);
    }
}
