//! The store, its troubles, and the path to it.

use super::network::{Event, Run};
use super::{CONTACT, HOUSEKEEPING, World};
use beamtray_emulator::{StoreReply, WatchWait};
use beamtray_metastore::{StoreCall, StoreOutcome};
use beamtray_router::core::StoreTask;
use beamtray_types::Time;
use std::time::Duration;

/// How long a node waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(900);

#[derive(Clone, Debug)]
struct Waiting {
    node: usize,
    run: Run,
    task: StoreTask,
    wait: WatchWait,
}

/// What is wrong with the store now.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreState {
    pub down: bool,
    pub lost_percent: u32,
    pub late: bool,
    pub deaf_until: Time,
    /// When something was last wrong.
    pub disturbed: Option<Time>,
    watches: Vec<Waiting>,
}

impl StoreState {
    /// Drops the watches of a node whose process ended.
    pub fn forget_node(&mut self, node: usize) {
        self.watches.retain(|waiting| waiting.node != node);
    }

    fn is_disturbed(&self) -> bool {
        self.down || self.lost_percent > 0
    }
}

impl World {
    /// Whether the store has been sound for the contact time.
    pub(super) fn is_store_stable(&self) -> bool {
        let disturbed = self.store_state.disturbed;
        !self.store_state.is_disturbed() && disturbed.is_none_or(|at| self.now.since(at) >= CONTACT)
    }

    pub(super) fn store_arrives(
        &mut self,
        node: usize,
        run: Run,
        task: StoreTask,
        call: StoreCall,
    ) {
        let silent = self.store_state.down || self.nodes[node].store_cut;
        if silent {
            let wait = match &call {
                StoreCall::Watch { wait, .. } => *wait,
                _ => Duration::ZERO,
            };
            return self.unanswered(node, run, task, wait + TIMEOUT);
        }
        if self.loses(&call) {
            if self.store_state.late {
                let delay = self.millis(1_000, 6_000);
                self.schedule(delay, Event::LateWrite { call });
            } else {
                self.store.call(self.now, &call);
            }
            return self.unanswered(node, run, task, TIMEOUT);
        }
        match self.store.call(self.now, &call) {
            StoreReply::Done(outcome) => self.answer(node, run, task, outcome),
            StoreReply::Waits(wait) => self.store_state.watches.push(Waiting {
                node,
                run,
                task,
                wait,
            }),
        }
    }

    fn loses(&mut self, call: &StoreCall) -> bool {
        let writes = matches!(
            call,
            StoreCall::Commit(_) | StoreCall::GrantLease { .. } | StoreCall::KeepLease { .. }
        );
        let percent = self.store_state.lost_percent;
        writes && percent > 0 && self.chance(percent)
    }

    fn answer(&mut self, node: usize, run: Run, task: StoreTask, outcome: StoreOutcome) {
        let delay = self.millis(2, 5);
        self.schedule(
            delay,
            Event::StoreAnswers {
                node,
                run,
                task,
                outcome,
            },
        );
    }

    fn unanswered(&mut self, node: usize, run: Run, task: StoreTask, after: Duration) {
        let outcome = StoreOutcome::Unknown;
        self.schedule(
            after,
            Event::StoreAnswers {
                node,
                run,
                task,
                outcome,
            },
        );
    }

    pub(super) fn late_write(&mut self, call: &StoreCall) {
        self.store.call(self.now, call);
    }

    /// Watches that wait on a path that falls silent never hear.
    pub(super) fn silence_watches(&mut self, concerns: impl Fn(usize) -> bool) {
        let watches = std::mem::take(&mut self.store_state.watches);
        for waiting in watches {
            if !concerns(waiting.node) {
                self.store_state.watches.push(waiting);
                continue;
            }
            let left = waiting.wait.until.since(self.now);
            self.unanswered(waiting.node, waiting.run, waiting.task, left + TIMEOUT);
        }
    }

    pub(super) fn housekeeping(&mut self) {
        self.schedule(HOUSEKEEPING, Event::Housekeeping);
        self.store.advance(self.now);
        if self.store_state.is_disturbed() {
            self.store_state.disturbed = Some(self.now);
        }
        self.heartbeats();
        self.answer_watches();
    }

    fn answer_watches(&mut self) {
        if self.store_state.down || self.now < self.store_state.deaf_until {
            return;
        }
        let watches = std::mem::take(&mut self.store_state.watches);
        for waiting in watches {
            match self.store.watch(self.now, &waiting.wait) {
                Some(outcome) => self.answer(waiting.node, waiting.run, waiting.task, outcome),
                None => self.store_state.watches.push(waiting),
            }
        }
    }
}
