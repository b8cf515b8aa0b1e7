//! Keys and contiguous ranges of them.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// A key of a divided service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct ShardKey(pub u16);

impl fmt::Display for ShardKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A contiguous range of keys, both ends included.
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
    /// Every key.
    pub const ALL: KeyRange = KeyRange {
        first: ShardKey(0),
        last: ShardKey(u16::MAX),
    };

    /// Whether the key is in the range.
    pub fn contains(self, key: ShardKey) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether some key is in both.
    pub fn overlaps(self, other: KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether every key of the other range is in this one.
    pub fn covers(self, other: KeyRange) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// How many keys there are in the range.
    pub fn len(self) -> u32 {
        u32::from(self.last.0) - u32::from(self.first.0) + 1
    }

    /// A range holds one key at least.
    pub fn is_empty(self) -> bool {
        false
    }

    /// Divides the range so that the second part begins at `key`; `None` when
    /// that would leave a part empty.
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

    /// Divides the range into that many of nearly the same length, or into single
    /// keys if those are fewer.
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
