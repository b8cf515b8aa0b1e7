//! Moves that balance the load.

use super::Granter;
use crate::balance::{
    BalanceLimits, MoveBudget, SliceHolding, SliceMove, UpstreamCapacity, plan_moves,
};
use crate::range::{KeyRange, ShardKey};
use crate::slice::{LossCause, Slice, Unowned};
use beamtray_types::Time;
use std::time::Duration;

/// Time for which the keys of a move may be without an owner before there are fewer moves at once.
const TIMELY_MOVE: Duration = Duration::from_millis(1_000);
/// Weight of the latest move in the mean time of moves.
const LATEST_WEIGHT: f64 = 0.2;

/// How long moves that balance the load leave keys without an owner.
///
/// Invariant: where moves take longer than [`TIMELY_MOVE`], the number of moves at a time is in
/// inverse proportion to how long they take. Failure that this prevents: of upstreams that were
/// overloaded altogether, a quarter had keys in moves at any time; a granter with little processor
/// time left these keys without an owner for two to four seconds, and the requests that were
/// refused meanwhile came again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MoveTime {
    mean_secs: Option<f64>,
}

impl MoveTime {
    /// Records a move that has ended.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let before = self.mean_secs.unwrap_or(took);
        self.mean_secs = Some(before + (took - before) * LATEST_WEIGHT);
    }

    /// How many of `most` moves may be under way at a time: at least one.
    fn limit(&self, most: usize) -> usize {
        let mean = self.mean_secs.unwrap_or_default();
        let share = TIMELY_MOVE.as_secs_f64() / mean.max(TIMELY_MOVE.as_secs_f64());
        ((most as f64 * share) as usize).max(most.min(1))
    }
}

impl Granter {
    /// Moves slices from busy to idle upstreams, splitting them where needed; returns the
    /// number of moves started.
    pub fn rebalance(&mut self, now: Time, limits: &BalanceLimits) -> usize {
        if self.withholds_any() || self.awaits_term_fence(now) {
            return 0;
        }
        let max_overload_moves =
            (self.candidates.len() as f64 * limits.max_overload_moves_share) as usize;
        let moving = self
            .slices
            .values()
            .filter(|slice| slice.next_holder().is_some());
        let moving = moving.count();
        let budget = MoveBudget {
            balancing: self
                .move_time
                .limit(limits.max_moves)
                .saturating_sub(moving),
            overload: self
                .move_time
                .limit(max_overload_moves)
                .saturating_sub(moving),
        };
        if budget.balancing.max(budget.overload) == 0 {
            return 0;
        }
        let upstreams: Vec<UpstreamCapacity> = self
            .eligible_holders(now)
            .into_iter()
            .map(|candidate| UpstreamCapacity {
                id: candidate.id.clone(),
                capacity: candidate.capacity,
            })
            .collect();
        let holdings: Vec<SliceHolding> = self
            .slices
            .values()
            .filter_map(|slice| {
                // A slice that is moving counts for its next holder.
                let holder = slice.holder().or(slice.next_holder())?;
                Some(SliceHolding {
                    range: slice.range,
                    holder: holder.clone(),
                    movable: self.is_movable(now, slice, limits),
                })
            })
            .collect();
        let steps = plan_moves(&upstreams, &holdings, &self.load, limits, budget);
        let moved = steps.len();
        for step in steps {
            self.start_move(now, step);
        }
        moved
    }

    pub(super) fn is_movable(&self, now: Time, slice: &Slice, limits: &BalanceLimits) -> bool {
        slice.pending_call.is_none()
            && slice.recorded_in <= self.durable_sequence
            && slice.doubt.is_none()
            && slice
                .holder()
                .is_some_and(|holder| self.unanswered_for(now, holder).is_none())
            && now.since(slice.changed_at) >= limits.move_cooldown
    }

    pub(super) fn start_move(&mut self, now: Time, step: SliceMove) {
        let Some(first) = self.isolate(step.range) else {
            return;
        };
        let loss = Unowned {
            cause: LossCause::Balance,
            since: now,
        };
        self.begin_release(now, first, Some(step.to), loss);
    }

    /// Splits slices so that `range` becomes a slice of its own; returns its first key.
    pub(super) fn isolate(&mut self, range: KeyRange) -> Option<ShardKey> {
        self.split(range.first);
        if range.last < KeyRange::ALL.last {
            self.split(ShardKey(range.last.0 + 1));
        }
        let slice = self.slices.get(&range.first)?;
        (slice.range == range).then_some(range.first)
    }

    pub(super) fn split(&mut self, at: ShardKey) {
        let Some((_, slice)) = self.slices.range_mut(..=at).next_back() else {
            return;
        };
        if slice.pending_call.is_some() {
            return;
        }
        let Some((below, above)) = slice.range.split_at(at) else {
            return;
        };
        let mut upper = slice.clone();
        slice.range = below;
        upper.range = above;
        self.slices.insert(above.first, upper);
    }
}
