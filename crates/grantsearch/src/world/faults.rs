//! Faults begin and end.

use super::start::upstream_id;
use super::{Continued, Step, World};
use crate::scope::TICK;
use crate::transport::{HeldCopy, Place};
use crate::upstream::Upstream;
use beamtray_catalog::{StartTimestamp, UpstreamId};
use std::time::Duration;

/// How long an upstream that ended takes to be up again.
const RESTART: Duration = Duration::from_millis(500);
/// What is left of the granter's place, at least, when it falls silent: its time to live
/// less the time between renewals.
const PLACE_LEFT: Duration = Duration::from_millis(1_500);

impl World {
    /// Faults that may begin or end now.
    pub(super) fn fault_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, path) in self.paths.iter().enumerate() {
            if path.is_cut {
                steps.push(Step::Heal(index));
            } else if self.left.cuts > 0 {
                steps.push(Step::Cut(index));
            }
            let is_up = path.back_at.is_none();
            if path.is_still {
                steps.push(Step::GoOn(index));
            } else if is_up && self.left.stands > 0 {
                steps.push(Step::Stand(index));
            }
            if is_up && !path.is_draining && self.left.drains > 0 {
                steps.push(Step::Drain(index));
            }
            if is_up && self.left.restarts_same_id > 0 {
                steps.push(Step::RestartSameId(index));
            }
            if is_up && self.left.restarts_new_id > 0 {
                steps.push(Step::RestartNewId(index));
            }
        }
        steps.extend(self.granter_steps());
        if self.store_fails {
            steps.push(Step::StoreReturns);
        } else if self.left.store_outages > 0 {
            steps.push(Step::StoreFails);
        }
        steps
    }

    fn granter_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let process = self.process.as_ref();
        let is_running = process.is_some_and(|process| !process.is_frozen);
        let is_frozen = process.is_some_and(|process| process.is_frozen);
        if is_running && self.left.ends > 0 {
            steps.push(Step::EndGranter);
        }
        if is_running && self.left.freezes > 0 {
            steps.push(Step::FreezeGranter);
        }
        if is_frozen || self.stalled.is_some() {
            steps.push(Step::ContinueGranter);
        }
        steps
    }

    pub(super) fn cut(&mut self, index: usize) {
        self.left.cuts -= 1;
        self.paths[index].is_cut = true;
        let id = self.upstreams[index].id.clone();
        self.note(|| format!("{id} is cut off"));
    }

    pub(super) fn heal(&mut self, index: usize) {
        self.paths[index].is_cut = false;
        self.paths[index].healed_at = Some(self.now);
        let id = self.upstreams[index].id.clone();
        self.note(|| format!("the path to {id} heals"));
    }

    pub(super) fn stand(&mut self, index: usize) {
        self.left.stands -= 1;
        self.paths[index].is_still = true;
        let id = self.upstreams[index].id.clone();
        self.note(|| format!("{id} stands still"));
    }

    /// What lies in its buffers is read at once, in the order in which it came.
    pub(super) fn go_on(&mut self, index: usize) {
        self.paths[index].is_still = false;
        let id = self.upstreams[index].id.clone();
        self.note(|| format!("{id} goes on"));
        let copies = std::mem::take(&mut self.copies);
        let (read, others) = copies
            .into_iter()
            .partition(|copy| copy.place == Place::Buffers && self.index_of(&copy.order) == index);
        self.copies = others;
        let read: Vec<HeldCopy> = read;
        for copy in read {
            self.read_from_buffers(&copy);
        }
    }

    /// What an upstream held and knew is gone at once; it is up again later.
    pub(super) fn restart(&mut self, index: usize, same_id: bool) {
        let old = &self.upstreams[index];
        let life = old.life + 1;
        let next_id = if same_id {
            self.left.restarts_same_id -= 1;
            let name = old.id.name.clone();
            let started_at = Some(StartTimestamp(life.into()));
            Some(UpstreamId { name, started_at })
        } else {
            self.left.restarts_new_id -= 1;
            Some(upstream_id(index, life))
        };
        let id = old.id.clone();
        if !self.scope.transport.reaches_next_process {
            self.copies.retain(|copy| copy.order.holder != id);
        }
        let is_lost = |copy: &HeldCopy| copy.place == Place::Upstream && copy.order.holder == id;
        self.copies.retain(|copy| !is_lost(copy));
        self.note(|| format!("{id} ends and starts again"));
        self.upstreams[index] = Upstream::new(id, life, &self.ranges);
        self.paths[index].back_at = Some(self.now + RESTART);
        self.paths[index].next_id = next_id;
        self.paths[index].is_draining = false;
    }

    /// An upstream says that it is to be emptied.
    pub(super) fn drain(&mut self, index: usize) {
        self.left.drains -= 1;
        self.paths[index].is_draining = true;
        let id = self.upstreams[index].id.clone();
        self.note(|| format!("{id} drains"));
        self.tell_candidates();
    }

    /// The granter's process ends with its connections; the next one is there at once.
    pub(super) fn end_granter(&mut self) {
        self.left.ends -= 1;
        if let Some(process) = self.process.take() {
            let life = self.scope.transport.after_end;
            self.drop_process(&process, life);
            self.note(|| format!("granter {} ends", process.term.0));
        }
        self.successor_at = Some(self.now + TICK);
    }

    /// The granter stands still; its place runs out.
    pub(super) fn freeze_granter(&mut self) {
        self.left.freezes -= 1;
        if let Some(process) = &mut self.process {
            process.is_frozen = true;
            let term = process.term;
            self.note(|| format!("granter {} stands still", term.0));
        }
        self.successor_at = Some(self.now + PLACE_LEFT);
    }

    /// The one that stood still goes on. If it was succeeded it gives its calls up, for it
    /// gives no order without looking at its right first; if not, it renews its place.
    pub(super) fn continue_granter(&mut self) {
        let at = self.now;
        if let Some(process) = self.process.as_mut().filter(|process| process.is_frozen) {
            process.is_frozen = false;
            let term = process.term;
            self.successor_at = None;
            self.continued.push(Continued { term, at });
            self.note(|| format!("granter {} goes on", term.0));
        } else if let Some(process) = self.stalled.take() {
            let life = self.scope.transport.after_give_up;
            self.drop_process(&process, life);
            let term = process.term;
            self.continued.push(Continued { term, at });
            self.note(|| format!("granter {} goes on, which was succeeded", term.0));
        }
    }

    pub(super) fn store_fails(&mut self) {
        self.left.store_outages -= 1;
        self.store_fails = true;
        self.note(|| "the store takes no records".to_owned());
    }

    pub(super) fn store_returns(&mut self) {
        self.store_fails = false;
        self.note(|| "the store takes records again".to_owned());
    }
}
