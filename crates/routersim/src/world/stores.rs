//! The store, its faults and the network path to it.

use super::network::{Event, Run};
use super::{CONNECTED_AFTER, HOUSEKEEPING, World};
use crate::check::POISON_PERSIST_TIME;
use crate::event_log::LoggedEvent;
use crate::fault::{Fault, FaultKind};
use beamtray_emulator::{StoreEmulator, StoreReply, WatchWait};
use beamtray_metastore::{StoreCall, StoreEra, StoreOutcome};
use beamtray_router::core::{Input, StoreTask};
use beamtray_types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a node waits for a response.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between snapshots of the store.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which snapshots are kept.
const SNAPSHOT_RETENTION: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
struct Waiting {
    node: usize,
    run: Run,
    task: StoreTask,
    wait: WatchWait,
}

/// Current faults of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreState {
    pub down: bool,
    pub lost_percent: u32,
    pub late: bool,
    /// Whether responses to watches that report changes are lost.
    pub loses_watch_answers: bool,
    pub watches_silent_until: Time,
    /// Time of the last fault.
    pub disturbed: Option<Time>,
    watches: Vec<Waiting>,
    /// Era of the store.
    pub era: StoreEra,
    /// Snapshots, oldest first; empty if the history has no rollback.
    snapshots: VecDeque<(Time, StoreEmulator)>,
    next_snapshot: Time,
    /// Snapshot to be restored after the outage, with its time.
    kept: Option<(Time, StoreEmulator)>,
    rollback: Option<Rollback>,
}

/// A rollback of the store to an older snapshot.
#[derive(Clone, Copy, Debug)]
struct Rollback {
    copy_of: Time,
    at: Time,
}

impl StoreState {
    /// Takes a snapshot of the store if one is due.
    fn copy(&mut self, now: Time, store: &StoreEmulator) {
        if now < self.next_snapshot || self.down {
            return;
        }
        self.next_snapshot = now + SNAPSHOT_INTERVAL;
        self.snapshots.push_back((now, store.clone()));
        while now.since(self.snapshots[0].0) > SNAPSHOT_RETENTION {
            self.snapshots.pop_front();
        }
    }

    /// Selects the newest snapshot of at least the given age for the rollback.
    pub fn select_snapshot(&mut self, now: Time, age: Duration) {
        let mut snapshots = self.snapshots.iter().rev();
        let old = snapshots.find(|(at, _)| now.since(*at) >= age);
        let copy = old.or(self.snapshots.front());
        self.kept = copy.cloned();
    }

    /// Time up to which writes are retained for processes that start after `now`. The store may
    /// be about to roll back, or may have rolled back so recently that the lost writes have not
    /// been repeated.
    pub fn keeps_until(&self, now: Time) -> Time {
        let coming = self.kept.as_ref().map(|(copy_of, _)| *copy_of);
        let lately = self
            .rollback
            .filter(|gone| now.since(gone.at) < POISON_PERSIST_TIME);
        coming.or(lately.map(|gone| gone.copy_of)).unwrap_or(now)
    }

    /// Drops the watches of a node whose process has ended.
    pub fn forget_node(&mut self, node: usize) {
        self.watches.retain(|waiting| waiting.node != node);
    }

    fn is_disturbed(&self) -> bool {
        self.down || self.lost_percent > 0
    }
}

impl World {
    /// Whether the store has been free of faults for [`CONNECTED_AFTER`].
    pub(super) fn is_store_stable(&self) -> bool {
        let disturbed = self.store_state.disturbed;
        !self.store_state.is_disturbed()
            && disturbed.is_none_or(|at| self.now.since(at) >= CONNECTED_AFTER)
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
        self.count_store_call(&call);
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
            StoreReply::Done(outcome) if self.loses_watch_answer(&outcome) => {
                let wait = match &call {
                    StoreCall::Watch { wait, .. } => *wait,
                    _ => Duration::ZERO,
                };
                self.unanswered(node, run, task, wait + TIMEOUT);
            }
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

    /// Drops watches whose network path fails; they never receive a response.
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

    /// Restores the store from the selected snapshot and schedules the repetition of later
    /// writes by operators and upstreams.
    pub(super) fn roll_back_store(&mut self) {
        let now = self.now;
        self.store_state.down = false;
        self.store_state.disturbed = Some(now);
        self.store_state.era.0 += 1;
        let snapshot_at = self.store_state.kept.as_ref().map(|(at, _)| *at);
        self.event_log
            .add(now, || LoggedEvent::StoreRolledBack { snapshot_at });
        if let Some((copy_of, copy)) = self.store_state.kept.take() {
            self.store.restore(copy);
            self.store_state.rollback = Some(Rollback { copy_of, at: now });
        }
        self.store.lease_expiry_enabled = true;
        self.store.renew_all_leases(now);
        self.store_state.snapshots.clear();
        let delay = self.millis(50, 800);
        self.schedule(delay, Event::WritesAgain);
    }

    pub(super) fn write_again(&mut self) {
        if self.store_state.down {
            return self.schedule(Duration::from_millis(200), Event::WritesAgain);
        }
        self.write_configuration_again();
        self.write_registrations_again();
    }

    /// Passes the store's era to a node before the outcome, as real responses do.
    pub(super) fn store_answers(
        &mut self,
        node: usize,
        run: Run,
        task: StoreTask,
        outcome: StoreOutcome,
    ) {
        let era = self.store_state.era;
        if matches!(task, StoreTask::Record(_)) {
            let committed = matches!(outcome, StoreOutcome::Committed { .. });
            self.event_log
                .add(self.now, || LoggedEvent::RecordWritten { node, committed });
        }
        if !matches!(outcome, StoreOutcome::Unknown) {
            self.input(node, run, Input::StoreEra(era));
        }
        let outcome = outcome.with_era(era);
        self.input(node, run, Input::Store { task, outcome });
    }

    pub(super) fn housekeeping(&mut self) {
        self.schedule(HOUSEKEEPING, Event::Housekeeping);
        let goes_back = |fault: &Fault| matches!(fault.kind, FaultKind::StoreGoesBack { .. });
        if self.faults.iter().any(goes_back) {
            self.store_state.copy(self.now, &self.store);
        }
        self.store.advance(self.now);
        if self.store_state.is_disturbed() {
            self.store_state.disturbed = Some(self.now);
        }
        self.heartbeats();
        self.answer_watches();
        self.count_unowned_keys();
    }

    fn answer_watches(&mut self) {
        if self.store_state.down || self.now < self.store_state.watches_silent_until {
            return;
        }
        let watches = std::mem::take(&mut self.store_state.watches);
        for waiting in watches {
            match self.store.watch(self.now, &waiting.wait) {
                Some(outcome) if self.loses_watch_answer(&outcome) => {
                    let left = waiting.wait.until.since(self.now);
                    self.unanswered(waiting.node, waiting.run, waiting.task, left + TIMEOUT);
                }
                Some(outcome) => self.answer(waiting.node, waiting.run, waiting.task, outcome),
                None => self.store_state.watches.push(waiting),
            }
        }
    }

    /// Whether a watch's response is lost, which is a fault of the store at this moment.
    fn loses_watch_answer(&mut self, outcome: &StoreOutcome) -> bool {
        let reports = matches!(outcome, StoreOutcome::Events { events, .. } if !events.is_empty());
        let is_lost = self.store_state.loses_watch_answers && reports;
        if is_lost {
            self.store_state.disturbed = Some(self.now);
        }
        is_lost
    }
}
