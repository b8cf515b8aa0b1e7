//! Sets of shard keys against lists of ranges.

use beamtray_sharding::{KeyRange, KeySet, ShardKey};
use quickcheck::quickcheck;

fn range(ends: (u8, u8)) -> KeyRange {
    let (one, other) = ends;
    KeyRange {
        first: ShardKey(one.min(other).into()),
        last: ShardKey(one.max(other).into()),
    }
}

quickcheck! {
    /// Guards against keys that a set loses when ranges in it overlap or adjoin.
    fn a_set_has_the_keys_of_all_its_ranges(inserted: Vec<(u8, u8)>, asked: Vec<(u8, u8)>) -> bool {
        let ranges: Vec<KeyRange> = inserted.into_iter().map(range).collect();
        let set: KeySet = ranges.iter().copied().collect();
        asked.into_iter().map(range).all(|asked| {
            let expected = ranges.iter().any(|range| range.overlaps(asked));
            set.overlaps(asked) == expected
        })
    }
}
