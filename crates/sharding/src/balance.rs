//! What to move from busy upstreams to idle ones.

use crate::load::LoadMap;
use crate::range::{KeyRange, ShardKey};
use beamtray_catalog::UpstreamId;
use std::collections::HashMap;
use std::time::Duration;

/// When a difference is worth a move.
#[derive(Clone, Copy, Debug)]
pub struct BalanceLimits {
    /// Most slices on the move at once for the sake of a better balance.
    pub max_moves: usize,
    /// The same for slices of upstreams that have more than they can do, as a part of
    /// all upstreams: busy keys that lie close together are to be with many of them
    /// within a second or two.
    pub max_overload_moves_share: f64,
    /// Utilization from which an upstream has more than it can do: chance alone brings
    /// none there, so that what many upstreams have by chance moves nothing.
    pub overload_utilization: f64,
    /// Utilization below which an upstream is left alone.
    pub busy_utilization: f64,
    /// Least difference in utilization between giver and taker.
    pub min_utilization_gap: f64,
    /// Least count of requests that a move takes along: what chance explains
    /// is left alone.
    pub min_requests: f64,
    /// How long a slice rests after a move.
    pub move_cooldown: Duration,
    /// Seconds of requests that the load counts, to turn counts to rates.
    pub load_window_secs: f64,
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

/// A holding while moves are planned.
#[derive(Clone, Debug)]
struct Planned {
    range: KeyRange,
    load: f64,
    movable: bool,
}

/// An upstream while moves are planned.
#[derive(Clone, Debug)]
struct Planner<'a> {
    id: &'a UpstreamId,
    capacity: f64,
    load: f64,
    holdings: Vec<Planned>,
}

impl Planner<'_> {
    fn utilization(&self, window: f64) -> f64 {
        self.load / window / self.capacity
    }
}

/// The upstreams, by their index, so that a plan for hundreds of them costs a
/// granter with little processor time less than a millisecond a move.
struct Balance<'a> {
    load: &'a LoadMap,
    limits: &'a BalanceLimits,
    planners: Vec<Planner<'a>>,
}

/// How many more slices may move now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveRoom {
    /// For the sake of a better balance.
    pub usual: usize,
    /// From upstreams that have more than they can do, those above included.
    pub urgent: usize,
}

/// Plans moves until the busiest upstream that can be relieved is close enough
/// to the idlest, or there is no room for more.
pub fn plan_moves(
    seats: &[Seat],
    holdings: &[Holding],
    load: &LoadMap,
    limits: &BalanceLimits,
    room: MoveRoom,
) -> Vec<MoveStep> {
    let planners = seats.iter().map(|seat| Planner {
        id: &seat.id,
        capacity: seat.capacity.max(f64::MIN_POSITIVE),
        load: 0.0,
        holdings: Vec::new(),
    });
    let mut planners: Vec<Planner> = planners.collect();
    let indices: HashMap<&UpstreamId, usize> = seats
        .iter()
        .enumerate()
        .map(|(index, seat)| (&seat.id, index))
        .collect();
    for holding in holdings {
        let Some(index) = indices.get(&holding.holder) else {
            continue;
        };
        let planned = Planned {
            range: holding.range,
            load: load.of(holding.range),
            movable: holding.movable,
        };
        planners[*index].load += planned.load;
        planners[*index].holdings.push(planned);
    }
    let mut balance = Balance {
        load,
        limits,
        planners,
    };
    let mut steps = balance.hot_steps(room.usual);
    while steps.len() < room.usual.max(room.urgent) {
        let least = if steps.len() < room.usual {
            limits.busy_utilization
        } else {
            limits.overload_utilization
        };
        let Some(step) = balance.next_step(least) else {
            break;
        };
        steps.push(step);
    }
    steps
}

/// A key that is a large part of what its holder can do.
struct HotKey {
    holder: usize,
    holding: usize,
    key: ShardKey,
    load: f64,
}

impl Balance<'_> {
    /// Moves for keys that no split can relieve: each goes to the upstream
    /// that can do most, one such key to an upstream. What else that upstream
    /// holds is moved by the ordinary steps.
    fn hot_steps(&mut self, most: usize) -> Vec<MoveStep> {
        let mut hot = self.hot_keys();
        hot.sort_by(|one, other| other.load.total_cmp(&one.load));
        let mut ablest: Vec<usize> = (0..self.planners.len()).collect();
        ablest.sort_by(|one, other| {
            let (one, other) = (&self.planners[*one], &self.planners[*other]);
            other.capacity.total_cmp(&one.capacity)
        });
        let mut is_taken = vec![false; self.planners.len()];
        let mut moves = Vec::new();
        for hot in hot {
            let free = ablest.iter().copied();
            let Some(best) = free.clone().find(|index| !is_taken[*index]) else {
                break;
            };
            let holder = &self.planners[hot.holder];
            let gain = self.planners[best].capacity / holder.capacity;
            if gain < HOT_GAIN || !holder.holdings[hot.holding].movable {
                is_taken[hot.holder] = true;
                continue;
            }
            is_taken[best] = true;
            moves.push((hot, best));
        }
        moves
            .into_iter()
            .take(most)
            .map(|(hot, to)| self.move_key(&hot, to))
            .collect()
    }

    fn hot_keys(&self) -> Vec<HotKey> {
        let mut hot = Vec::new();
        for (holder, planner) in self.planners.iter().enumerate() {
            let least = planner.capacity * HOT_SHARE * self.limits.load_window_secs;
            let holdings = planner.holdings.iter().enumerate();
            for (holding, planned) in holdings.filter(|(_, planned)| planned.load >= least) {
                let keys = self.load.keys(planned.range);
                let busiest = keys.max_by(|one, other| one.1.total_cmp(&other.1));
                if let Some((key, load)) = busiest.filter(|(_, load)| *load >= least) {
                    hot.push(HotKey {
                        holder,
                        holding,
                        key,
                        load,
                    });
                }
            }
        }
        hot
    }

    fn move_key(&mut self, hot: &HotKey, to: usize) -> MoveStep {
        let range = KeyRange {
            first: hot.key,
            last: hot.key,
        };
        self.split_off(hot.holder, hot.holding, range, to);
        MoveStep {
            range,
            to: self.planners[to].id.clone(),
        }
    }

    fn utilization(&self, index: usize) -> f64 {
        self.planners[index].utilization(self.limits.load_window_secs)
    }

    /// Upstreams from the busiest to the idlest.
    fn ranked(&self) -> Vec<usize> {
        let mut ranked: Vec<(f64, usize)> = (0..self.planners.len())
            .map(|index| (self.utilization(index), index))
            .collect();
        ranked.sort_by(|one, other| other.0.total_cmp(&one.0));
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// One move from an upstream that is utilized that much at least.
    fn next_step(&mut self, least: f64) -> Option<MoveStep> {
        let ranked = self.ranked();
        let taker = *ranked.last()?;
        for giver in ranked {
            let used = self.utilization(giver);
            let worthwhile =
                used >= least && used - self.utilization(taker) >= self.limits.min_utilization_gap;
            if !worthwhile {
                return None;
            }
            if let Some(step) = self.step(giver, taker) {
                return Some(step);
            }
        }
        None
    }

    /// The load whose move makes both equally utilized.
    fn wanted(&self, giver: usize, taker: usize) -> f64 {
        let (giver, taker) = (&self.planners[giver], &self.planners[taker]);
        (giver.load * taker.capacity - taker.load * giver.capacity)
            / (giver.capacity + taker.capacity)
    }

    fn step(&mut self, giver: usize, taker: usize) -> Option<MoveStep> {
        let wanted = self.wanted(giver, taker);
        let holdings = self.planners[giver].holdings.iter().enumerate();
        let (index, range, _) = holdings
            .filter(|(_, planned)| planned.movable)
            .filter_map(|(index, planned)| {
                let (range, load) = part(self.load, planned.range, wanted)?;
                Some((index, range, load))
            })
            .filter(|(_, _, load)| *load >= self.limits.min_requests)
            .max_by(|one, other| one.2.total_cmp(&other.2))?;
        self.split_off(giver, index, range, taker);
        Some(MoveStep {
            range,
            to: self.planners[taker].id.clone(),
        })
    }

    /// Gives a part of a holding to another upstream; what is left of it stays. Other
    /// holdings keep their places.
    fn split_off(&mut self, giver: usize, index: usize, moved: KeyRange, taker: usize) {
        let whole = self.planners[giver].holdings[index].range;
        let below = (moved.first > whole.first).then(|| KeyRange {
            first: whole.first,
            last: ShardKey(moved.first.0 - 1),
        });
        let above = (moved.last < whole.last).then(|| KeyRange {
            first: ShardKey(moved.last.0 + 1),
            last: whole.last,
        });
        // A split slice is moved once a plan at most.
        let planned = |range: KeyRange| Planned {
            range,
            load: self.load.of(range),
            movable: false,
        };
        let given = planned(moved);
        let empty = Planned {
            range: moved,
            load: 0.0,
            movable: false,
        };
        let rest: Vec<Planned> = below.into_iter().chain(above).map(planned).collect();
        let from = &mut self.planners[giver];
        from.load -= given.load;
        from.holdings[index] = empty;
        from.holdings.extend(rest);
        let to = &mut self.planners[taker];
        to.load += given.load;
        to.holdings.push(given);
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
