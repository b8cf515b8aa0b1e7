//! Shard keys and contiguous ranges of them.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// A key of a sharded service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct ShardKey(pub u16);

impl fmt::Display for ShardKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A contiguous range of keys, inclusive at both ends.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct KeyRange {
    /// Lowest key.
    pub first: ShardKey,
    /// Highest key.
    pub last: ShardKey,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: KeyRange = KeyRange {
        first: ShardKey(0),
        last: ShardKey(u16::MAX),
    };

    /// Whether the key is in the range.
    pub fn contains(self, key: ShardKey) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the ranges have a key in common.
    pub fn overlaps(self, other: KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether this range contains every key of the other one.
    pub fn covers(self, other: KeyRange) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Number of keys in the range.
    pub fn len(self) -> u32 {
        u32::from(self.last.0) - u32::from(self.first.0) + 1
    }

    /// Always false: a range contains at least one key.
    pub fn is_empty(self) -> bool {
        false
    }

    /// Splits the range so that the second part begins at `key`; `None` if either part would
    /// be empty.
    pub fn split_at(self, key: ShardKey) -> Option<(KeyRange, KeyRange)> {
        if key <= self.first || key > self.last {
            return None;
        }
        let below = KeyRange {
            first: self.first,
            last: ShardKey(key.0 - 1),
        };
        let above = KeyRange {
            first: key,
            last: self.last,
        };
        Some((below, above))
    }

    /// Divides the range into `parts` ranges of nearly equal length, or into single keys if
    /// there are fewer keys than that.
    pub fn divide(self, parts: u32) -> Vec<KeyRange> {
        let parts = parts.clamp(1, self.len());
        let bound = |part: u32| {
            let keys = u64::from(part) * u64::from(self.len()) / u64::from(parts);
            u32::from(self.first.0) + keys as u32
        };
        let ranges = (0..parts).map(|part| KeyRange {
            first: ShardKey(bound(part) as u16),
            last: ShardKey((bound(part + 1) - 1) as u16),
        });
        ranges.collect()
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}..{}", self.first, self.last)
    }
}
