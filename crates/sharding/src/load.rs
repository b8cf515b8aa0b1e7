//! Request load by key.

use crate::range::{KeyRange, ShardKey};
use std::collections::BTreeMap;

/// Counts below this are dropped.
const NEGLIGIBLE_COUNT: f64 = 0.05;

/// Decayed request counts by key.
#[derive(Clone, Debug, Default)]
pub struct LoadMap {
    by_key: BTreeMap<ShardKey, f64>,
}

impl LoadMap {
    /// Adds requests for a key.
    pub fn add(&mut self, key: ShardKey, requests: f64) {
        *self.by_key.entry(key).or_default() += requests;
    }

    /// Multiplies all counts by a factor.
    pub fn decay(&mut self, factor: f64) {
        self.by_key.retain(|_, count| {
            *count *= factor;
            *count >= NEGLIGIBLE_COUNT
        });
    }

    /// Total load of a range.
    pub fn of_range(&self, range: KeyRange) -> f64 {
        self.by_key
            .range(range.first..=range.last)
            .map(|(_, count)| count)
            .sum()
    }

    /// Total load of all keys.
    pub fn total(&self) -> f64 {
        self.by_key.values().sum()
    }

    /// The keys of a range that have load, in key order.
    pub fn keys(&self, range: KeyRange) -> impl Iterator<Item = (ShardKey, f64)> + '_ {
        self.by_key
            .range(range.first..=range.last)
            .map(|(key, count)| (*key, *count))
    }
}
