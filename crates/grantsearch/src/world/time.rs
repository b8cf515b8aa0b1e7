//! Advance of time.

use super::World;
use crate::check::RECOVERY_WINDOW;
use crate::scope::TICK;
use crate::standby::standby_id;
use beamtray_sharding::AssignmentRecord;

impl World {
    /// Advances time until a choice is possible, an invariant is violated or the maximum time step
    /// has passed.
    pub(super) fn advance_time(&mut self) {
        let end = self.now + self.scope.max_time_step;
        while self.now < end && !self.tick() && self.checker.violation.is_none() {}
    }

    /// Advances one tick. Returns whether an event occurred that a fault could affect.
    pub(super) fn tick(&mut self) -> bool {
        self.now = self.now + TICK;
        let mut happened = self.discard_expired_copies();
        happened |= self.recovery_window_ends();
        happened |= self.finish_restarts();
        happened |= self.expire_calls();
        happened |= self.elect_successor();
        self.run_standby();
        happened |= self.run_granter();
        let ranges = self.ranges.len();
        self.checker.tick(self.now, ranges, &self.upstreams);
        happened
    }

    /// Discards copies that can no longer arrive. Returns whether this is the last moment for one.
    fn discard_expired_copies(&mut self) -> bool {
        let now = self.now;
        self.copies
            .retain(|copy| copy.until.is_none_or(|until| now <= until));
        self.copies.iter().any(|copy| copy.until == Some(now))
    }

    /// Whether a recovery window has just ended, so that arrivals count again.
    fn recovery_window_ends(&self) -> bool {
        let healed = self.paths.iter().filter_map(|path| path.healed_at);
        let resumed = self.resumed.iter().map(|resumed| resumed.at);
        let mut begins = healed.chain(resumed);
        !self.copies.is_empty() && begins.any(|at| at + RECOVERY_WINDOW + TICK == self.now)
    }

    fn finish_restarts(&mut self) -> bool {
        let mut returned = false;
        for index in 0..self.paths.len() {
            let path = &mut self.paths[index];
            if path.restarts_at.is_none_or(|at| self.now < at) {
                continue;
            }
            path.restarts_at = None;
            if let Some(id) = path.next_id.take() {
                self.upstreams[index].id = id;
            }
            returned = true;
            let id = self.upstreams[index].id.clone();
            self.trace_event(|| format!("{id} is up and holds nothing"));
        }
        if returned {
            self.update_candidates();
        }
        returned
    }

    /// Starts a successor when the leadership lease is free.
    fn elect_successor(&mut self) -> bool {
        if self.successor_at.is_none_or(|at| self.now < at) {
            return false;
        }
        if let Some(paused) = self.process.take() {
            self.superseded = Some(paused);
        }
        self.elect();
        true
    }

    /// Runs the standby: it exchanges messages with the granter if reachable and renews grants if it is
    /// active. Its orders always arrive, because partitions affect only the granter.
    fn run_standby(&mut self) {
        let Some(mut standby) = self.standby.take() else {
            return;
        };
        let is_apart = self.paths.iter().any(|path| path.is_cut);
        let running = self.process.as_mut().filter(|process| !process.is_paused);
        if let Some(process) = running.filter(|_| !is_apart) {
            process.granter.set_standbys(self.now, &[standby_id()]);
            standby.exchange(self.now, &mut process.granter, self.record.as_ref());
        }
        let timing = self.scope.timing;
        let orders = standby.poll(self.now, timing.hold, timing.renewal);
        self.standby = Some(standby);
        for order in orders {
            self.deliver_standby_order(&order);
        }
    }

    /// Sends the granter's orders and writes its record. Returns whether something changed.
    fn run_granter(&mut self) -> bool {
        let now = self.now;
        let running = self.process.as_mut().filter(|process| !process.is_paused);
        let Some(process) = running else {
            return false;
        };
        let orders = process.granter.poll(now);
        let mut happened = self.write_record();
        for order in orders {
            happened |= self.write_order(order);
        }
        happened
    }

    fn write_record(&mut self) -> bool {
        if self.store_fails {
            return false;
        }
        let Some(process) = &mut self.process else {
            return false;
        };
        let Some(record) = process.granter.take_record() else {
            return false;
        };
        process.granter.mark_durable(self.now, record.sequence);
        let before = self.record.replace(record.clone());
        let changed = before.as_ref().map(|before| &before.slices) != Some(&record.slices);
        if self.remaining_faults.rollbacks > 0 {
            self.history.add(before, &record);
        }
        if changed {
            self.trace_record(&record);
        }
        changed
    }

    pub(super) fn trace_record(&mut self, record: &AssignmentRecord) {
        let states = record.slices.iter();
        let states: Vec<String> = states
            .enumerate()
            .map(|(range, slice)| format!("range {range} {:?}", slice.state))
            .collect();
        self.trace_event(|| format!("a record is durable: {}", states.join(", ")));
    }
}
