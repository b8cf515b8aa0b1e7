//! Time passes.

use super::World;
use crate::check::SOON;
use crate::scope::TICK;
use crate::standby::standby_id;

impl World {
    /// Runs until something may be decided, or something is broken.
    pub(super) fn pass(&mut self) {
        let end = self.now + self.scope.longest_pass;
        while self.now < end && !self.tick() && self.judge.broken.is_none() {}
    }

    /// One tick; whether something happened beside which a fault would make a difference.
    pub(super) fn tick(&mut self) -> bool {
        self.now = self.now + TICK;
        let mut happened = self.forget_copies();
        happened |= self.window_closes();
        happened |= self.upstreams_return();
        happened |= self.end_calls();
        happened |= self.succeed();
        self.run_standby();
        happened |= self.run_granter();
        let ranges = self.ranges.len();
        self.judge.tick(self.now, ranges, &self.upstreams);
        happened
    }

    /// Copies that can't arrive any more go; whether one can only arrive now.
    fn forget_copies(&mut self) -> bool {
        let now = self.now;
        self.copies
            .retain(|copy| copy.until.is_none_or(|until| now <= until));
        self.copies.iter().any(|copy| copy.until == Some(now))
    }

    /// Whether arrivals begin to count again now, some time after a path healed.
    fn window_closes(&self) -> bool {
        let healed = self.paths.iter().filter_map(|path| path.healed_at);
        let continued = self.continued.iter().map(|continued| continued.at);
        let mut begins = healed.chain(continued);
        !self.copies.is_empty() && begins.any(|at| at + SOON + TICK == self.now)
    }

    fn upstreams_return(&mut self) -> bool {
        let mut returned = false;
        for index in 0..self.paths.len() {
            let path = &mut self.paths[index];
            if path.back_at.is_none_or(|at| self.now < at) {
                continue;
            }
            path.back_at = None;
            if let Some(id) = path.next_id.take() {
                self.upstreams[index].id = id;
            }
            returned = true;
            let id = self.upstreams[index].id.clone();
            self.note(|| format!("{id} is up and holds nothing"));
        }
        if returned {
            self.tell_candidates();
        }
        returned
    }

    /// Another granter takes over where the place is free.
    fn succeed(&mut self) -> bool {
        if self.successor_at.is_none_or(|at| self.now < at) {
            return false;
        }
        if let Some(frozen) = self.process.take() {
            self.stalled = Some(frozen);
        }
        self.elect();
        true
    }

    /// The standby hears the granter where it can, and prolongs holds where it must. Its
    /// orders arrive, for only the granter is cut off.
    fn run_standby(&mut self) {
        let Some(mut standby) = self.standby.take() else {
            return;
        };
        let is_apart = self.paths.iter().any(|path| path.is_cut);
        let running = self.process.as_mut().filter(|process| !process.is_frozen);
        if let Some(process) = running.filter(|_| !is_apart) {
            process.granter.set_standbys(self.now, &[standby_id()]);
            standby.meets(self.now, &mut process.granter, &self.record);
        }
        let timing = self.scope.timing;
        let orders = standby.poll(self.now, timing.hold, timing.renewal);
        self.standby = Some(standby);
        for order in orders {
            self.standby_orders(&order);
        }
    }

    /// The granter gives orders and writes its record; whether it did something new.
    fn run_granter(&mut self) -> bool {
        let now = self.now;
        let running = self.process.as_mut().filter(|process| !process.is_frozen);
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
        let changed = record.slices != self.record.slices;
        self.record = record;
        if changed {
            self.note_record();
        }
        changed
    }

    fn note_record(&mut self) {
        let states = self.record.slices.iter();
        let states: Vec<String> = states
            .enumerate()
            .map(|(range, slice)| format!("range {range} {:?}", slice.state))
            .collect();
        self.note(|| format!("a record is durable: {}", states.join(", ")));
    }
}
