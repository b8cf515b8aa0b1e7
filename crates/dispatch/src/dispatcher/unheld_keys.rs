//! Tracks keys without a holder and estimates when they will have one again.
//!
//! A key that moves has a holder again after its release, the write of the record and the
//! grant; a key whose holder was lost, after its hold has expired. A node only sees that the
//! key has no holder. It therefore records how long keys were without one, and estimates the
//! rest from those that were without a holder for at least as long as this key has been.

use beamtray_sharding::{Assignment, ShardKey, SliceState};
use beamtray_types::{ServiceName, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Number of recent durations that are kept.
const MAX_OBSERVED: usize = 64;
/// Durations assumed before any was observed: a move (0.4 s from release to grant at 78
/// machines), and the loss of a holder (a hold of 3 s and the time to detect the loss).
const PRIOR_DURATIONS: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(4_000)];

/// A range of keys without a holder, stored under its first key.
#[derive(Clone, Copy, Debug)]
struct UnheldRange {
    last: ShardKey,
    since: Time,
}

/// Ranges of keys without a holder, and durations observed earlier.
#[derive(Clone, Debug, Default)]
pub(super) struct UnheldKeys {
    current: HashMap<ServiceName, BTreeMap<ShardKey, UnheldRange>>,
    /// How long keys were without a holder, the oldest first.
    durations: VecDeque<Duration>,
}

impl UnheldKeys {
    /// Applies the newest assignment of a service.
    pub fn update(&mut self, now: Time, service: &ServiceName, assignment: &Assignment) {
        let before = self.current.remove(service).unwrap_or_default();
        let is_held = |state: &SliceState| matches!(state, SliceState::Held { .. });
        for (first, range) in &before {
            let slice = assignment.slice(*first);
            if slice.is_some_and(|slice| is_held(&slice.state)) {
                self.record_duration(now.since(range.since));
            }
        }
        let unheld = assignment.slices().filter(|slice| !is_held(&slice.state));
        let unheld = unheld.map(|slice| {
            let known = range_of(&before, slice.range.first);
            let range = UnheldRange {
                last: slice.range.last,
                since: known.map_or(now, |known| known.since),
            };
            (slice.range.first, range)
        });
        let unheld: BTreeMap<ShardKey, UnheldRange> = unheld.collect();
        self.current.insert(service.clone(), unheld);
    }

    fn record_duration(&mut self, duration: Duration) {
        if self.durations.len() == MAX_OBSERVED {
            self.durations.pop_front();
        }
        self.durations.push_back(duration);
    }

    /// Estimates how long a key will remain without a holder: the median of the observed
    /// durations that exceed the time it has been without one so far. If it exceeds all of
    /// them, the remaining time is assumed to equal the elapsed time.
    pub fn remaining(&self, now: Time, service: &ServiceName, key: ShardKey) -> Duration {
        let current = self.current.get(service);
        let range = current.and_then(|current| range_of(current, key));
        let elapsed = range.map_or(Duration::ZERO, |range| now.since(range.since));
        let observed = self.durations.iter().copied();
        let all = observed.chain(PRIOR_DURATIONS);
        let mut longer: Vec<Duration> = all.filter(|duration| *duration > elapsed).collect();
        longer.sort();
        match longer.get(longer.len().saturating_sub(1) / 2) {
            Some(median) => *median - elapsed,
            None => elapsed,
        }
    }
}

fn range_of(ranges: &BTreeMap<ShardKey, UnheldRange>, key: ShardKey) -> Option<&UnheldRange> {
    let (_, range) = ranges.range(..=key).next_back()?;
    (key <= range.last).then_some(range)
}
