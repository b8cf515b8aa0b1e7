//! Load balancing: plans moves from busy to idle upstreams.

use crate::load::LoadMap;
use crate::range::{KeyRange, ShardKey};
use beamtray_catalog::UpstreamId;
use std::collections::HashMap;
use std::time::Duration;

/// Limits that decide when a move is worthwhile.
#[derive(Clone, Copy, Debug)]
pub struct BalanceLimits {
    /// Maximum number of slices that move at a time to improve the balance.
    pub max_moves: usize,
    /// The same for slices of overloaded upstreams, as a fraction of all upstreams. Busy keys
    /// that are adjacent must be spread over many upstreams within a second or two.
    pub max_overload_moves_share: f64,
    /// Utilization from which an upstream is overloaded. Random variation alone does not
    /// reach it, so that the random load differences of many upstreams cause no moves.
    pub overload_utilization: f64,
    /// Utilization below which no keys are moved away from an upstream.
    pub busy_utilization: f64,
    /// Minimum difference in utilization between source and target.
    pub min_utilization_gap: f64,
    /// Minimum number of counted requests that a move transfers; smaller loads may be random
    /// variation.
    pub min_requests: f64,
    /// How long a slice is not moved again after a move.
    pub move_cooldown: Duration,
    /// Seconds of requests that the load map covers, used to convert counts to rates.
    pub load_window_secs: f64,
}

/// An upstream that may be assigned slices.
#[derive(Clone, Debug)]
pub struct UpstreamCapacity {
    /// The upstream.
    pub id: UpstreamId,
    /// Requests per second that it can serve.
    pub capacity: f64,
}

/// A slice and its holder.
#[derive(Clone, Debug)]
pub struct SliceHolding {
    /// The keys.
    pub range: KeyRange,
    /// The holder.
    pub holder: UpstreamId,
    /// Whether it may be moved now.
    pub movable: bool,
}

/// A planned move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceMove {
    /// The keys: a slice or part of one.
    pub range: KeyRange,
    /// The upstream that gets them.
    pub to: UpstreamId,
}

/// Fraction of its holder's capacity from which a single key is hot.
const HOT_SHARE: f64 = 0.5;
/// Minimum ratio of the target's capacity to the holder's for moving a hot key.
const HOT_GAIN: f64 = 1.15;

/// A slice during planning.
#[derive(Clone, Debug)]
struct PlannedHolding {
    range: KeyRange,
    load: f64,
    movable: bool,
}

/// An upstream during planning.
#[derive(Clone, Debug)]
struct PlannedUpstream<'a> {
    id: &'a UpstreamId,
    capacity: f64,
    load: f64,
    holdings: Vec<PlannedHolding>,
}

impl PlannedUpstream<'_> {
    fn utilization(&self, window: f64) -> f64 {
        self.load / window / self.capacity
    }
}

/// State of the planning. Upstreams are addressed by index, so that a plan for hundreds of
/// them costs a granter with little processor time less than a millisecond per move.
struct Balance<'a> {
    load: &'a LoadMap,
    limits: &'a BalanceLimits,
    planned_upstreams: Vec<PlannedUpstream<'a>>,
}

/// How many more slices may start to move now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveBudget {
    /// To improve the balance.
    pub balancing: usize,
    /// From overloaded upstreams, including the moves counted in `balancing`.
    pub overload: usize,
}

/// Plans moves until the busiest upstream that can be relieved is close enough to the least
/// busy one, or the budget is used up.
pub fn plan_moves(
    upstreams: &[UpstreamCapacity],
    holdings: &[SliceHolding],
    load: &LoadMap,
    limits: &BalanceLimits,
    budget: MoveBudget,
) -> Vec<SliceMove> {
    let planned_upstreams = upstreams.iter().map(|upstream| PlannedUpstream {
        id: &upstream.id,
        capacity: upstream.capacity.max(f64::MIN_POSITIVE),
        load: 0.0,
        holdings: Vec::new(),
    });
    let mut planned_upstreams: Vec<PlannedUpstream> = planned_upstreams.collect();
    let indices: HashMap<&UpstreamId, usize> = upstreams
        .iter()
        .enumerate()
        .map(|(index, upstream)| (&upstream.id, index))
        .collect();
    for holding in holdings {
        let Some(index) = indices.get(&holding.holder) else {
            continue;
        };
        let planned = PlannedHolding {
            range: holding.range,
            load: load.of_range(holding.range),
            movable: holding.movable,
        };
        planned_upstreams[*index].load += planned.load;
        planned_upstreams[*index].holdings.push(planned);
    }
    let mut balance = Balance {
        load,
        limits,
        planned_upstreams,
    };
    let mut steps = balance.plan_hot_key_moves(budget.balancing);
    while steps.len() < budget.balancing.max(budget.overload) {
        let threshold = if steps.len() < budget.balancing {
            limits.busy_utilization
        } else {
            limits.overload_utilization
        };
        let Some(step) = balance.next_move(threshold) else {
            break;
        };
        steps.push(step);
    }
    steps
}

/// A key that takes up a large part of its holder's capacity.
struct HotKey {
    holder: usize,
    holding: usize,
    key: ShardKey,
    load: f64,
}

impl Balance<'_> {
    /// Moves for keys that no split can relieve: each goes to the upstream with the most
    /// capacity, at most one such key to an upstream. The other keys of that upstream are
    /// left to the regular moves.
    fn plan_hot_key_moves(&mut self, limit: usize) -> Vec<SliceMove> {
        let mut hot = self.hot_keys();
        hot.sort_by(|one, other| other.load.total_cmp(&one.load));
        let mut by_capacity: Vec<usize> = (0..self.planned_upstreams.len()).collect();
        by_capacity.sort_by(|one, other| {
            let (one, other) = (
                &self.planned_upstreams[*one],
                &self.planned_upstreams[*other],
            );
            other.capacity.total_cmp(&one.capacity)
        });
        let mut is_taken = vec![false; self.planned_upstreams.len()];
        let mut moves = Vec::new();
        for hot in hot {
            let free = by_capacity.iter().copied();
            let Some(best) = free.clone().find(|index| !is_taken[*index]) else {
                break;
            };
            let holder = &self.planned_upstreams[hot.holder];
            let gain = self.planned_upstreams[best].capacity / holder.capacity;
            if gain < HOT_GAIN || !holder.holdings[hot.holding].movable {
                is_taken[hot.holder] = true;
                continue;
            }
            is_taken[best] = true;
            moves.push((hot, best));
        }
        moves
            .into_iter()
            .take(limit)
            .map(|(hot, to)| self.move_key(&hot, to))
            .collect()
    }

    fn hot_keys(&self) -> Vec<HotKey> {
        let mut hot = Vec::new();
        for (holder, upstream) in self.planned_upstreams.iter().enumerate() {
            let threshold = upstream.capacity * HOT_SHARE * self.limits.load_window_secs;
            let holdings = upstream.holdings.iter().enumerate();
            for (holding, planned) in holdings.filter(|(_, planned)| planned.load >= threshold) {
                let keys = self.load.keys(planned.range);
                let busiest = keys.max_by(|one, other| one.1.total_cmp(&other.1));
                if let Some((key, load)) = busiest.filter(|(_, load)| *load >= threshold) {
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

    fn move_key(&mut self, hot: &HotKey, to: usize) -> SliceMove {
        let range = KeyRange {
            first: hot.key,
            last: hot.key,
        };
        self.split_off(hot.holder, hot.holding, range, to);
        SliceMove {
            range,
            to: self.planned_upstreams[to].id.clone(),
        }
    }

    fn utilization(&self, index: usize) -> f64 {
        self.planned_upstreams[index].utilization(self.limits.load_window_secs)
    }

    /// Upstreams in descending order of utilization.
    fn ranked(&self) -> Vec<usize> {
        let mut ranked: Vec<(f64, usize)> = (0..self.planned_upstreams.len())
            .map(|index| (self.utilization(index), index))
            .collect();
        ranked.sort_by(|one, other| other.0.total_cmp(&one.0));
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Plans one move from an upstream with at least that utilization.
    fn next_move(&mut self, threshold: f64) -> Option<SliceMove> {
        let ranked = self.ranked();
        let target = *ranked.last()?;
        for source in ranked {
            let used = self.utilization(source);
            let worthwhile = used >= threshold
                && used - self.utilization(target) >= self.limits.min_utilization_gap;
            if !worthwhile {
                return None;
            }
            if let Some(step) = self.plan_move(source, target) {
                return Some(step);
            }
        }
        None
    }

    /// The load to move so that both are equally utilized.
    fn load_to_move(&self, source: usize, target: usize) -> f64 {
        let (source, target) = (
            &self.planned_upstreams[source],
            &self.planned_upstreams[target],
        );
        (source.load * target.capacity - target.load * source.capacity)
            / (source.capacity + target.capacity)
    }

    fn plan_move(&mut self, source: usize, target: usize) -> Option<SliceMove> {
        let load_to_move = self.load_to_move(source, target);
        let holdings = self.planned_upstreams[source].holdings.iter().enumerate();
        let (index, range, _) = holdings
            .filter(|(_, planned)| planned.movable)
            .filter_map(|(index, planned)| {
                let (range, load) = movable_part(self.load, planned.range, load_to_move)?;
                Some((index, range, load))
            })
            .filter(|(_, _, load)| *load >= self.limits.min_requests)
            .max_by(|one, other| one.2.total_cmp(&other.2))?;
        self.split_off(source, index, range, target);
        Some(SliceMove {
            range,
            to: self.planned_upstreams[target].id.clone(),
        })
    }

    /// Moves part of a slice to another upstream; the remainder stays. The indices of the
    /// other slices do not change.
    fn split_off(&mut self, source: usize, index: usize, moved: KeyRange, target: usize) {
        let whole = self.planned_upstreams[source].holdings[index].range;
        let below = (moved.first > whole.first).then(|| KeyRange {
            first: whole.first,
            last: ShardKey(moved.first.0 - 1),
        });
        let above = (moved.last < whole.last).then(|| KeyRange {
            first: ShardKey(moved.last.0 + 1),
            last: whole.last,
        });
        // A split slice is moved at most once per plan.
        let planned = |range: KeyRange| PlannedHolding {
            range,
            load: self.load.of_range(range),
            movable: false,
        };
        let transferred = planned(moved);
        let empty = PlannedHolding {
            range: moved,
            load: 0.0,
            movable: false,
        };
        let rest: Vec<PlannedHolding> = below.into_iter().chain(above).map(planned).collect();
        let from = &mut self.planned_upstreams[source];
        from.load -= transferred.load;
        from.holdings[index] = empty;
        from.holdings.extend(rest);
        let to = &mut self.planned_upstreams[target];
        to.load += transferred.load;
        to.holdings.push(transferred);
    }
}

/// The whole range if its load is at most `load_to_move`, or else the prefix or suffix that
/// comes closest. `None` if even a single key exceeds it.
fn movable_part(load: &LoadMap, range: KeyRange, load_to_move: f64) -> Option<(KeyRange, f64)> {
    let total = load.of_range(range);
    if total <= load_to_move {
        return Some((range, total));
    }
    let keys: Vec<(ShardKey, f64)> = load.keys(range).collect();
    let lower = prefix(&keys, load_to_move).map(|(last, sum)| {
        let first = range.first;
        (KeyRange { first, last }, sum)
    });
    let reversed: Vec<(ShardKey, f64)> = keys.into_iter().rev().collect();
    let upper = prefix(&reversed, load_to_move).map(|(first, sum)| {
        let last = range.last;
        (KeyRange { first, last }, sum)
    });
    match (lower, upper) {
        (Some(lower), Some(upper)) => Some(if lower.1 >= upper.1 { lower } else { upper }),
        (lower, upper) => lower.or(upper),
    }
}

/// The longest prefix of keys whose load is at most `load_to_move`.
fn prefix(keys: &[(ShardKey, f64)], load_to_move: f64) -> Option<(ShardKey, f64)> {
    let mut sum = 0.0;
    let mut end = None;
    for (key, count) in keys {
        if sum + count > load_to_move {
            break;
        }
        sum += count;
        end = Some((*key, sum));
    }
    end
}
