//! What to move from busy upstreams to idle ones.

use crate::load::LoadMap;
use crate::range::{KeyRange, ShardKey};
use beamtray_catalog::UpstreamId;
use std::collections::BTreeMap;
use std::time::Duration;

/// When a difference is worth a move.
#[derive(Clone, Copy, Debug)]
pub struct BalanceLimits {
    /// Most slices on the move at once.
    pub moves: usize,
    /// Utilization below which an upstream is left alone.
    pub busy: f64,
    /// Least difference in utilization between giver and taker.
    pub difference: f64,
    /// Least count of requests that a move takes along: what chance explains
    /// is left alone.
    pub least_requests: f64,
    /// How long a slice rests after a move.
    pub rest: Duration,
    /// Seconds of requests that the load counts, to turn counts to rates.
    pub window: f64,
}

/// An upstream that may take slices.
#[derive(Clone, Debug)]
pub struct Seat {
    /// The upstream.
    pub id: UpstreamId,
    /// Requests a second that it can work on.
    pub capacity: f64,
}

/// A slice and its holder.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The keys.
    pub range: KeyRange,
    /// The holder.
    pub holder: UpstreamId,
    /// Whether it may be moved now.
    pub movable: bool,
}

/// One move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveStep {
    /// The keys: a slice or a part of one.
    pub range: KeyRange,
    /// Who gets them.
    pub to: UpstreamId,
}

/// Share of its holder's capacity from which a single key counts as hot.
const HOT_SHARE: f64 = 0.5;
/// How much more the taker of a hot key must be able to do.
const HOT_GAIN: f64 = 1.15;

struct Balance<'a> {
    load: &'a LoadMap,
    limits: &'a BalanceLimits,
    capacities: BTreeMap<UpstreamId, f64>,
    loads: BTreeMap<UpstreamId, f64>,
    holdings: Vec<Holding>,
}

/// Plans moves until the busiest upstream that can be relieved is close enough
/// to the idlest, or the limits are reached.
pub fn plan_moves(
    seats: &[Seat],
    holdings: &[Holding],
    load: &LoadMap,
    limits: &BalanceLimits,
) -> Vec<MoveStep> {
    let capacities: BTreeMap<UpstreamId, f64> = seats
        .iter()
        .map(|seat| (seat.id.clone(), seat.capacity.max(f64::MIN_POSITIVE)))
        .collect();
    let mut loads: BTreeMap<UpstreamId, f64> =
        seats.iter().map(|seat| (seat.id.clone(), 0.0)).collect();
    for holding in holdings {
        if let Some(sum) = loads.get_mut(&holding.holder) {
            *sum += load.of(holding.range);
        }
    }
    let mut balance = Balance {
        load,
        limits,
        capacities,
        loads,
        holdings: holdings.to_vec(),
    };
    let mut steps = balance.hot_steps();
    while steps.len() < limits.moves {
        let Some(step) = balance.next_step() else {
            break;
        };
        steps.push(step);
    }
    steps
}

/// A key that is a large part of what its holder can do.
struct HotKey {
    index: usize,
    key: ShardKey,
    load: f64,
}

impl Balance<'_> {
    /// Moves for keys that no split can relieve: each goes to the upstream
    /// that can do most, one such key to an upstream. What else that upstream
    /// holds is moved by the ordinary steps.
    fn hot_steps(&mut self) -> Vec<MoveStep> {
        let mut hot = self.hot_keys();
        hot.sort_by(|one, other| other.load.total_cmp(&one.load));
        let mut taken: Vec<UpstreamId> = Vec::new();
        let mut moves = Vec::new();
        for hot in hot {
            let holding = &self.holdings[hot.index];
            let holder = holding.holder.clone();
            let free = self.capacities.iter().filter(|(id, _)| !taken.contains(id));
            let Some((best, most)) = free.max_by(|one, other| one.1.total_cmp(other.1)) else {
                break;
            };
            let gain = *most
                / self
                    .capacities
                    .get(&holder)
                    .copied()
                    .unwrap_or(f64::MIN_POSITIVE);
            let best = best.clone();
            if gain < HOT_GAIN || !holding.movable {
                taken.push(holder);
                continue;
            }
            taken.push(best.clone());
            moves.push((hot, best));
        }
        moves
            .into_iter()
            .take(self.limits.moves)
            .map(|(hot, to)| self.move_key(&hot, to))
            .collect()
    }

    fn hot_keys(&self) -> Vec<HotKey> {
        let holdings = self.holdings.iter().enumerate();
        holdings
            .filter_map(|(index, holding)| {
                let capacity = self.capacities.get(&holding.holder)?;
                let (key, load) = self
                    .load
                    .keys(holding.range)
                    .max_by(|one, other| one.1.total_cmp(&other.1))?;
                let hot = load / self.limits.window >= capacity * HOT_SHARE;
                hot.then_some(HotKey { index, key, load })
            })
            .collect()
    }

    fn move_key(&mut self, hot: &HotKey, to: UpstreamId) -> MoveStep {
        let range = KeyRange {
            first: hot.key,
            last: hot.key,
        };
        let holder = self.holdings[hot.index].holder.clone();
        for (id, change) in [(&holder, -hot.load), (&to, hot.load)] {
            if let Some(load) = self.loads.get_mut(id) {
                *load += change;
            }
        }
        self.split_off(hot.index, range, &to);
        MoveStep { range, to }
    }

    fn utilization(&self, id: &UpstreamId) -> f64 {
        self.loads[id] / self.limits.window / self.capacities[id]
    }

    /// Upstreams from the busiest to the idlest.
    fn ranked(&self) -> Vec<UpstreamId> {
        let mut ids: Vec<UpstreamId> = self.loads.keys().cloned().collect();
        ids.sort_by(|one, other| self.utilization(other).total_cmp(&self.utilization(one)));
        ids
    }

    fn next_step(&mut self) -> Option<MoveStep> {
        let ranked = self.ranked();
        let taker = ranked.last()?.clone();
        for giver in &ranked {
            let used = self.utilization(giver);
            let worthwhile = used >= self.limits.busy
                && used - self.utilization(&taker) >= self.limits.difference;
            if !worthwhile {
                return None;
            }
            if let Some(step) = self.step(giver, &taker) {
                return Some(step);
            }
        }
        None
    }

    /// The load whose move makes both equally utilized.
    fn wanted(&self, giver: &UpstreamId, taker: &UpstreamId) -> f64 {
        let (from, to) = (self.capacities[giver], self.capacities[taker]);
        (self.loads[giver] * to - self.loads[taker] * from) / (from + to)
    }

    fn step(&mut self, giver: &UpstreamId, taker: &UpstreamId) -> Option<MoveStep> {
        let wanted = self.wanted(giver, taker);
        let (index, range, load) = self
            .holdings
            .iter()
            .enumerate()
            .filter(|(_, holding)| holding.movable && holding.holder == *giver)
            .filter_map(|(index, holding)| {
                let (range, load) = part(self.load, holding.range, wanted)?;
                Some((index, range, load))
            })
            .filter(|(_, _, load)| *load >= self.limits.least_requests)
            .max_by(|one, other| one.2.total_cmp(&other.2))?;
        self.split_off(index, range, taker);
        *self.loads.get_mut(giver)? -= load;
        *self.loads.get_mut(taker)? += load;
        Some(MoveStep {
            range,
            to: taker.clone(),
        })
    }

    /// Replaces a holding by the part that moves, and appends what is left of
    /// it. Other holdings keep their places.
    fn split_off(&mut self, index: usize, moved: KeyRange, taker: &UpstreamId) {
        let holding = self.holdings[index].clone();
        let mut rest = |range: KeyRange| {
            self.holdings.push(Holding {
                range,
                holder: holding.holder.clone(),
                // A split slice is moved once a plan at most.
                movable: false,
            });
        };
        if moved.first > holding.range.first {
            rest(KeyRange {
                first: holding.range.first,
                last: ShardKey(moved.first.0 - 1),
            });
        }
        if moved.last < holding.range.last {
            rest(KeyRange {
                first: ShardKey(moved.last.0 + 1),
                last: holding.range.last,
            });
        }
        self.holdings[index] = Holding {
            range: moved,
            holder: taker.clone(),
            movable: false,
        };
    }
}

/// The whole range if its load is at most `wanted`, or the end of it that
/// comes closest. `None` when a single key is more than can be moved with
/// gain.
fn part(load: &LoadMap, range: KeyRange, wanted: f64) -> Option<(KeyRange, f64)> {
    let total = load.of(range);
    if total <= wanted {
        return Some((range, total));
    }
    let keys: Vec<(ShardKey, f64)> = load.keys(range).collect();
    let lower = prefix(&keys, wanted).map(|(last, sum)| {
        let first = range.first;
        (KeyRange { first, last }, sum)
    });
    let reversed: Vec<(ShardKey, f64)> = keys.into_iter().rev().collect();
    let upper = prefix(&reversed, wanted).map(|(first, sum)| {
        let last = range.last;
        (KeyRange { first, last }, sum)
    });
    match (lower, upper) {
        (Some(lower), Some(upper)) => Some(if lower.1 >= upper.1 { lower } else { upper }),
        (lower, upper) => lower.or(upper),
    }
}

/// The longest run of keys from the begin whose load is at most `wanted`.
fn prefix(keys: &[(ShardKey, f64)], wanted: f64) -> Option<(ShardKey, f64)> {
    let mut sum = 0.0;
    let mut end = None;
    for (key, count) in keys {
        if sum + count > wanted {
            break;
        }
        sum += count;
        end = Some((*key, sum));
    }
    end
}
