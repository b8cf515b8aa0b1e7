//! Key hashes and contiguous ranges of the hash space.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// 64-bit xxh3 hash of a key.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a caller's key.
    pub fn of(key: &str) -> Self {
        Self(xxh3_64(key.as_bytes()))
    }
}

/// A contiguous range of the hash space, inclusive on both ends.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
pub struct SliceRange {
    /// Lowest hash in the range.
    pub first: u64,
    /// Highest hash in the range.
    pub last: u64,
}

impl SliceRange {
    /// The whole hash space.
    pub const ALL: SliceRange = SliceRange {
        first: 0,
        last: u64::MAX,
    };

    /// Returns whether the range contains `hash`.
    pub fn contains(&self, hash: KeyHash) -> bool {
        (self.first..=self.last).contains(&hash.0)
    }

    /// Returns whether two ranges have a hash in common.
    pub fn overlaps(&self, other: &SliceRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the range's fraction of the hash space, from 0 to 1.
    pub fn fraction(&self) -> f64 {
        ((self.last - self.first) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
    }

    /// Splits the hash space into `count` ranges (at least one) of equal size.
    pub fn split_evenly(count: u32) -> Vec<SliceRange> {
        let count = u128::from(count.max(1));
        let space = 1u128 << 64;
        let start = |position: u128| (space * position / count) as u64;
        (0..count)
            .map(|position| SliceRange {
                first: start(position),
                last: ((space * (position + 1) / count) - 1) as u64,
            })
            .collect()
    }
}

impl fmt::Display for SliceRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{:016x}", self.first, self.last)
    }
}
