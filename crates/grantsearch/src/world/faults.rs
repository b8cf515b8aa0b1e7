//! Start and end of faults.

use super::start::upstream_id;
use super::{ResumedProcess, Step, World};
use crate::scope::TICK;
use crate::transport::{CopyLocation, DelayedCopy};
use crate::upstream::Upstream;
use beamtray_catalog::{StartTimestamp, UpstreamId};
use std::time::Duration;

/// How long an upstream takes to restart.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Minimum remaining time of the granter's leadership lease when it falls silent: the lease's time
/// to live minus the renewal interval.
const LEASE_REMAINING: Duration = Duration::from_millis(1_500);

impl World {
    /// Returns the faults that may start or end now.
    pub(super) fn fault_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, path) in self.paths.iter().enumerate() {
            if path.is_cut {
                steps.push(Step::Heal(index));
            } else if self.remaining_faults.cuts > 0 {
                steps.push(Step::Cut(index));
            }
            let is_up = path.restarts_at.is_none();
            if path.is_paused {
                steps.push(Step::ResumeUpstream(index));
            } else if is_up && self.remaining_faults.upstream_pauses > 0 {
                steps.push(Step::PauseUpstream(index));
            }
            if is_up && !path.is_draining && self.remaining_faults.drains > 0 {
                steps.push(Step::Drain(index));
            }
            if is_up && self.remaining_faults.restarts_same_id > 0 {
                steps.push(Step::RestartSameId(index));
            }
            if is_up && self.remaining_faults.restarts_new_id > 0 {
                steps.push(Step::RestartNewId(index));
            }
        }
        steps.extend(self.granter_steps());
        if self.store_fails {
            steps.push(Step::StoreReturns);
        } else if self.remaining_faults.store_outages > 0 {
            steps.push(Step::StoreFails);
        }
        steps.extend(self.rollback_steps());
        steps
    }

    fn granter_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let process = self.process.as_ref();
        let is_running = process.is_some_and(|process| !process.is_paused);
        let is_paused = process.is_some_and(|process| process.is_paused);
        if is_running && self.remaining_faults.granter_exits > 0 {
            steps.push(Step::StopGranter);
        }
        if is_running && self.remaining_faults.granter_pauses > 0 {
            steps.push(Step::PauseGranter);
        }
        if is_paused || self.superseded.is_some() {
            steps.push(Step::ResumeGranter);
        }
        steps
    }

    pub(super) fn cut(&mut self, index: usize) {
        self.remaining_faults.cuts -= 1;
        self.paths[index].is_cut = true;
        let id = self.upstreams[index].id.clone();
        self.trace_event(|| format!("{id} is cut off"));
    }

    pub(super) fn heal(&mut self, index: usize) {
        self.paths[index].is_cut = false;
        self.paths[index].healed_at = Some(self.now);
        let id = self.upstreams[index].id.clone();
        self.trace_event(|| format!("the path to {id} heals"));
    }

    pub(super) fn pause_upstream(&mut self, index: usize) {
        self.remaining_faults.upstream_pauses -= 1;
        self.paths[index].is_paused = true;
        let id = self.upstreams[index].id.clone();
        self.trace_event(|| format!("{id} stands still"));
    }

    /// Resumes an upstream, which executes the buffered orders at once in arrival order.
    pub(super) fn resume_upstream(&mut self, index: usize) {
        self.paths[index].is_paused = false;
        let id = self.upstreams[index].id.clone();
        self.trace_event(|| format!("{id} goes on"));
        let copies = std::mem::take(&mut self.copies);
        let (read, others) = copies.into_iter().partition(|copy| {
            copy.location == CopyLocation::ReceiveBuffer && self.index_of(&copy.order) == index
        });
        self.copies = others;
        let read: Vec<DelayedCopy> = read;
        for copy in read {
            self.execute_buffered(&copy);
        }
    }

    /// Restarts an upstream. Its state is lost immediately; it is up again later.
    pub(super) fn restart(&mut self, index: usize, same_id: bool) {
        let old = &self.upstreams[index];
        let incarnation = old.incarnation + 1;
        let next_id = if same_id {
            self.remaining_faults.restarts_same_id -= 1;
            let name = old.id.name.clone();
            let started_at = Some(StartTimestamp(incarnation.into()));
            Some(UpstreamId { name, started_at })
        } else {
            self.remaining_faults.restarts_new_id -= 1;
            Some(upstream_id(index, incarnation))
        };
        let id = old.id.clone();
        if !self.scope.transport.reaches_next_process {
            self.copies.retain(|copy| copy.order.holder != id);
        }
        let is_lost =
            |copy: &DelayedCopy| copy.location == CopyLocation::Upstream && copy.order.holder == id;
        self.copies.retain(|copy| !is_lost(copy));
        self.trace_event(|| format!("{id} ends and starts again"));
        self.upstreams[index] = Upstream::new(id, incarnation, &self.ranges);
        self.paths[index].restarts_at = Some(self.now + RESTART_TIME);
        self.paths[index].next_id = next_id;
        self.paths[index].is_draining = false;
    }

    /// Registers an upstream as draining.
    pub(super) fn drain(&mut self, index: usize) {
        self.remaining_faults.drains -= 1;
        self.paths[index].is_draining = true;
        let id = self.upstreams[index].id.clone();
        self.trace_event(|| format!("{id} drains"));
        self.update_candidates();
    }

    /// Stops the granter's process and closes its connections. A successor takes over immediately.
    pub(super) fn stop_granter(&mut self) {
        self.remaining_faults.granter_exits -= 1;
        if let Some(process) = self.process.take() {
            let lifetime = self.scope.transport.after_process_exit;
            self.drop_process(&process, lifetime);
            self.trace_event(|| format!("granter {} ends", process.term.0));
        }
        self.successor_at = Some(self.now + TICK);
    }

    /// Pauses the granter; its leadership lease expires unless it resumes in time.
    pub(super) fn pause_granter(&mut self) {
        self.remaining_faults.granter_pauses -= 1;
        if let Some(process) = &mut self.process {
            process.is_paused = true;
            let term = process.term;
            self.trace_event(|| format!("granter {} stands still", term.0));
        }
        self.successor_at = Some(self.now + LEASE_REMAINING);
    }

    /// Resumes a paused granter. If it has a successor, it abandons its calls, because it verifies
    /// its leadership before each order; otherwise it renews its lease.
    pub(super) fn resume_granter(&mut self) {
        let at = self.now;
        if let Some(process) = self.process.as_mut().filter(|process| process.is_paused) {
            process.is_paused = false;
            let term = process.term;
            self.successor_at = None;
            self.resumed.push(ResumedProcess { term, at });
            self.trace_event(|| format!("granter {} goes on", term.0));
        } else if let Some(process) = self.superseded.take() {
            let lifetime = self.scope.transport.after_timeout;
            self.drop_process(&process, lifetime);
            let term = process.term;
            self.resumed.push(ResumedProcess { term, at });
            self.trace_event(|| format!("granter {} goes on, which was succeeded", term.0));
        }
    }

    pub(super) fn store_fails(&mut self) {
        self.remaining_faults.store_outages -= 1;
        self.store_fails = true;
        self.trace_event(|| "the store takes no records".to_owned());
    }

    pub(super) fn store_returns(&mut self) {
        self.store_fails = false;
        self.trace_event(|| "the store takes records again".to_owned());
    }
}
