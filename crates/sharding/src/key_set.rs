//! Sets of shard keys.

use crate::range::{KeyRange, ShardKey};
use std::collections::BTreeMap;

/// A set of shard keys, kept as ranges.
///
/// Invariant: the ranges have no key in common, so that one lookup finds whether keys are in the
/// set, whatever the number of ranges. Failure that this prevents: a granter that compared each
/// slice with each withheld range needed more processor time than renewals of its lease leave.
#[derive(Clone, Debug, Default)]
pub struct KeySet {
    /// The last key of each range, by its first one.
    ranges: BTreeMap<ShardKey, ShardKey>,
}

impl KeySet {
    /// Adds keys, some of which may be in the set already.
    pub fn insert(&mut self, range: KeyRange) {
        let mut union = range;
        while let Some(present) = self.last_overlapping(union) {
            self.ranges.remove(&present.first);
            union.first = union.first.min(present.first);
            union.last = union.last.max(present.last);
        }
        self.ranges.insert(union.first, union.last);
    }

    /// Whether any of these keys is in the set.
    pub fn overlaps(&self, range: KeyRange) -> bool {
        self.last_overlapping(range).is_some()
    }

    /// The highest range of the set that has a key in common with this one.
    fn last_overlapping(&self, range: KeyRange) -> Option<KeyRange> {
        let (&first, &last) = self.ranges.range(..=range.last).next_back()?;
        let candidate = KeyRange { first, last };
        candidate.overlaps(range).then_some(candidate)
    }
}

impl FromIterator<KeyRange> for KeySet {
    fn from_iter<I: IntoIterator<Item = KeyRange>>(ranges: I) -> Self {
        let mut set = Self::default();
        for range in ranges {
            set.insert(range);
        }
        set
    }
}
