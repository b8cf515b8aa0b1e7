//! Keys without a holder: since when, and when they are likely to have one again.
//!
//! A key that moves has a holder again after the release, the record and the grant; one
//! whose holder was lost, when its hold has run out. A node sees only that the key has
//! none. So it observes how long keys were without one, and expects of a key what became
//! of those that had been without one for as long.

use beamtray_sharding::{Assignment, ShardKey, SliceState};
use beamtray_types::{ServiceName, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Absences that are remembered, the latest ones.
const REMEMBERED: usize = 64;
/// Taken to have been observed before any was: a move (0.4 s from release to grant at 78
/// machines), and the loss of a holder (a hold of 3 s and the time to notice).
const PRIOR: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(4_000)];

/// A range of keys without a holder, by its first key.
#[derive(Clone, Copy, Debug)]
struct Absence {
    last: ShardKey,
    since: Time,
}

/// The keys without a holder, and how long others were.
#[derive(Clone, Debug, Default)]
pub(super) struct Absences {
    current: HashMap<ServiceName, BTreeMap<ShardKey, Absence>>,
    /// How long keys were without a holder, the oldest first.
    lasted: VecDeque<Duration>,
}

impl Absences {
    /// Takes the newest assignment of a service.
    pub fn follow(&mut self, now: Time, service: &ServiceName, assignment: &Assignment) {
        let before = self.current.remove(service).unwrap_or_default();
        let is_held = |state: &SliceState| matches!(state, SliceState::Held { .. });
        for (first, absence) in &before {
            let slice = assignment.slice(*first);
            if slice.is_some_and(|slice| is_held(&slice.state)) {
                self.remember(now.since(absence.since));
            }
        }
        let absent = assignment.slices().filter(|slice| !is_held(&slice.state));
        let absent = absent.map(|slice| {
            let known = absence_of(&before, slice.range.first);
            let absence = Absence {
                last: slice.range.last,
                since: known.map_or(now, |known| known.since),
            };
            (slice.range.first, absence)
        });
        let absent: BTreeMap<ShardKey, Absence> = absent.collect();
        self.current.insert(service.clone(), absent);
    }

    fn remember(&mut self, lasted: Duration) {
        if self.lasted.len() == REMEMBERED {
            self.lasted.pop_front();
        }
        self.lasted.push_back(lasted);
    }

    /// How long a key is likely to be without a holder from `now` on: the median of those
    /// that were without one for longer than it has been. One that outlasts them all is
    /// taken to be half way.
    pub fn remaining(&self, now: Time, service: &ServiceName, key: ShardKey) -> Duration {
        let current = self.current.get(service);
        let absence = current.and_then(|current| absence_of(current, key));
        let elapsed = absence.map_or(Duration::ZERO, |absence| now.since(absence.since));
        let observed = self.lasted.iter().copied();
        let all = observed.chain(PRIOR);
        let mut longer: Vec<Duration> = all.filter(|lasted| *lasted > elapsed).collect();
        longer.sort();
        match longer.get(longer.len().saturating_sub(1) / 2) {
            Some(median) => *median - elapsed,
            None => elapsed,
        }
    }
}

fn absence_of(absences: &BTreeMap<ShardKey, Absence>, key: ShardKey) -> Option<&Absence> {
    let (_, absence) = absences.range(..=key).next_back()?;
    (key <= absence.last).then_some(absence)
}
