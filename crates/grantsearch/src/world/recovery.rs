//! Checks that keys have an owner again in time.

use super::{Path, World};
use crate::check::{Invariant, Violation};
use crate::scope::Faults;
use beamtray_sharding::SliceState;
use std::time::Duration;

/// How long keys must then keep their owners.
const OWNERSHIP_CHECK_TIME: Duration = Duration::from_millis(1_000);

impl World {
    /// Simulates the time after this state without new faults and with all faults ended except
    /// partitions, which last if another upstream is usable. Returns a violation if keys have no owner in
    /// time.
    pub fn ownership_timeout(&self) -> Option<Violation> {
        let within = self.scope.owned_within?;
        let mut world = self.clone();
        world.end_faults();
        let due = world.now + within;
        while world.now < due + OWNERSHIP_CHECK_TIME {
            world.tick();
            if world.now >= due && !world.is_owned() {
                let millis = within.as_millis();
                let text = format!("keys have no owner {millis} ms after the last fault");
                return Some(Violation {
                    invariant: Invariant::OwnedAgain,
                    text,
                });
            }
        }
        None
    }

    fn end_faults(&mut self) {
        self.remaining_faults = Faults::default();
        self.store_fails = false;
        self.copies.clear();
        while let Some(step) = self.pending_orders.front().map(|_| super::Step::Deliver) {
            self.apply_delivery(step);
        }
        let is_usable = |path: &Path| !path.is_cut && !path.is_draining;
        if !self.paths.iter().any(is_usable) {
            for path in &mut self.paths {
                path.is_cut = false;
                path.is_draining = false;
            }
            self.update_candidates();
        }
    }

    /// Whether each range is held by the upstream that the record names, and that upstream is
    /// reachable.
    fn is_owned(&self) -> bool {
        let Some(record) = &self.record else {
            return false;
        };
        self.ranges.iter().enumerate().all(|(number, range)| {
            let slices = record.slices.iter();
            let mut slices = slices.filter(|slice| slice.range.overlaps(*range));
            slices.all(|slice| self.is_held(number, &slice.state))
        })
    }

    fn is_held(&self, number: usize, state: &SliceState) -> bool {
        let SliceState::Held { holder, .. } = state else {
            return false;
        };
        let upstreams = self.upstreams.iter().zip(&self.paths);
        let mut holders = upstreams.filter(|(upstream, _)| upstream.id == *holder);
        holders
            .any(|(upstream, path)| path.is_open() && self.now < upstream.holdings[number].expiry)
    }
}
