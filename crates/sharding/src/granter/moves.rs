//! Moves for the sake of balance.

use super::Granter;
use crate::balance::{BalanceLimits, Holding, MoveRoom, MoveStep, Seat, plan_moves};
use crate::range::{KeyRange, ShardKey};
use crate::slice::{LossCause, Slice, Unowned};
use beamtray_types::Time;

impl Granter {
    /// Moves slices from busy to idle upstreams, splitting them where needed;
    /// how many were moved.
    pub fn rebalance(&mut self, now: Time, limits: &BalanceLimits) -> usize {
        if self.withholds_any() {
            return 0;
        }
        let most = (self.candidates.len() as f64 * limits.max_overload_moves_share) as usize;
        let moving = self.slices.values().filter(|slice| slice.next().is_some());
        let moving = moving.count();
        let room = MoveRoom {
            usual: limits.max_moves.saturating_sub(moving),
            urgent: most.saturating_sub(moving),
        };
        if room.usual.max(room.urgent) == 0 {
            return 0;
        }
        let seats: Vec<Seat> = self
            .takers(now)
            .into_iter()
            .map(|candidate| Seat {
                id: candidate.id.clone(),
                capacity: candidate.capacity,
            })
            .collect();
        let holdings: Vec<Holding> = self
            .slices
            .values()
            .filter_map(|slice| {
                // What is on its way to an upstream counts there.
                let holder = slice.holder().or(slice.next())?;
                Some(Holding {
                    range: slice.range,
                    holder: holder.clone(),
                    movable: self.is_movable(now, slice, limits),
                })
            })
            .collect();
        let steps = plan_moves(&seats, &holdings, &self.load, limits, room);
        let moved = steps.len();
        for step in steps {
            self.start_move(now, step);
        }
        moved
    }

    pub(super) fn is_movable(&self, now: Time, slice: &Slice, limits: &BalanceLimits) -> bool {
        slice.call.is_none()
            && slice.told_in <= self.durable
            && slice.doubt.is_none()
            && slice
                .holder()
                .is_some_and(|holder| self.silence(now, holder).is_none())
            && now.since(slice.settled_at) >= limits.move_cooldown
    }

    pub(super) fn start_move(&mut self, now: Time, step: MoveStep) {
        let Some(first) = self.carve(step.range) else {
            return;
        };
        let loss = Unowned {
            cause: LossCause::Balance,
            since: now,
        };
        self.take_back(now, first, Some(step.to), loss);
    }

    /// Splits slices so that `range` is one by itself; its first key.
    pub(super) fn carve(&mut self, range: KeyRange) -> Option<ShardKey> {
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
        if slice.call.is_some() {
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
