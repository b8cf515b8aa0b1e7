//! The keys that an upstream holds, as the platform's protocol says.

use beamtray_types::Time;
use std::time::Duration;

/// Number of keys.
const KEYS: usize = 1 << 16;

/// Keys from the first to the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl Range {
    /// Whether a key is among them.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Whether some keys are among both.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    fn indices(self) -> std::ops::RangeInclusive<usize> {
        usize::from(self.first)..=usize::from(self.last)
    }
}

/// The keys of one upstream.
pub struct KeyTable {
    seen: Vec<u64>,
    until: Vec<Time>,
}

impl KeyTable {
    /// Holds nothing.
    pub fn new() -> Self {
        Self {
            seen: vec![0; KEYS],
            until: vec![Time::ZERO; KEYS],
        }
    }

    /// Takes keys, unless a higher fence was seen on one of them.
    pub fn grant(&mut self, now: Time, range: Range, fence: u64, hold: Duration) -> bool {
        if self.seen[range.indices()].iter().any(|seen| *seen > fence) {
            return false;
        }
        self.seen[range.indices()].fill(fence);
        for until in &mut self.until[range.indices()] {
            *until = (*until).max(now + hold);
        }
        true
    }

    /// Gives keys back.
    pub fn release(&mut self, range: Range, fence: u64) {
        for seen in &mut self.seen[range.indices()] {
            *seen = (*seen).max(fence);
        }
        self.until[range.indices()].fill(Time::ZERO);
    }

    /// Until when a key is held.
    pub fn held_until(&self, key: u16) -> Time {
        self.until[usize::from(key)]
    }

    /// Whether a key is held.
    pub fn holds(&self, now: Time, key: u16) -> bool {
        now < self.held_until(key)
    }
}
