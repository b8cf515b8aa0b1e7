//! The store, its troubles, and the path to it.

use super::network::{Event, Run};
use super::{CONTACT, HOUSEKEEPING, World};
use crate::check::KEPT_WITHIN;
use crate::fault::{Fault, Trouble};
use beamtray_emulator::{StoreEmulator, StoreReply, WatchWait};
use beamtray_metastore::{StoreCall, StoreEra, StoreOutcome};
use beamtray_router::core::{Input, StoreTask};
use beamtray_types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a node waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Between two copies of the store.
const COPY_PAUSE: Duration = Duration::from_millis(250);
/// How long copies are kept.
const COPIES_KEPT: Duration = Duration::from_secs(20);

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
    /// Its era.
    pub era: StoreEra,
    /// Copies of it, the oldest first; none where it never goes back.
    copies: VecDeque<(Time, StoreEmulator)>,
    copy_at: Time,
    /// The copy from which it comes back, and when that was made.
    kept: Option<(Time, StoreEmulator)>,
    went_back: Option<GoneBack>,
}

/// The store came back from an older copy.
#[derive(Clone, Copy, Debug)]
struct GoneBack {
    copy_of: Time,
    at: Time,
}

impl StoreState {
    /// Notes how the store stands, so that it can go back to that.
    fn copy(&mut self, now: Time, store: &StoreEmulator) {
        if now < self.copy_at || self.down {
            return;
        }
        self.copy_at = now + COPY_PAUSE;
        self.copies.push_back((now, store.clone()));
        while now.since(self.copies[0].0) > COPIES_KEPT {
            self.copies.pop_front();
        }
    }

    /// Chooses the newest copy of that age from which the store comes back.
    pub fn keep_copy(&mut self, now: Time, age: Duration) {
        let mut copies = self.copies.iter().rev();
        let old = copies.find(|(at, _)| now.since(*at) >= age);
        let copy = old.or(self.copies.front());
        self.kept = copy.cloned();
    }

    /// Until when the store kept what it was told, for processes that start after `now`: it
    /// may be about to come back from an older copy, or have done so that lately that nobody
    /// has told it again.
    pub fn keeps_until(&self, now: Time) -> Time {
        let coming = self.kept.as_ref().map(|(copy_of, _)| *copy_of);
        let lately = self
            .went_back
            .filter(|gone| now.since(gone.at) < KEPT_WITHIN);
        coming.or(lately.map(|gone| gone.copy_of)).unwrap_or(now)
    }

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

    /// The store comes back from an older copy, and what operators and upstreams wrote since
    /// is soon written again.
    pub(super) fn store_goes_back(&mut self) {
        let now = self.now;
        self.store_state.down = false;
        self.store_state.disturbed = Some(now);
        self.store_state.era.0 += 1;
        if let Some((copy_of, copy)) = self.store_state.kept.take() {
            self.store.restore(copy);
            self.store_state.went_back = Some(GoneBack { copy_of, at: now });
        }
        self.store.lease_expiry_enabled = true;
        self.store.renew_all_leases(now);
        self.store_state.copies.clear();
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

    /// Tells a node the store's era before what the store says, as answers do.
    pub(super) fn store_answers(
        &mut self,
        node: usize,
        run: Run,
        task: StoreTask,
        outcome: StoreOutcome,
    ) {
        let era = self.store_state.era;
        if !matches!(outcome, StoreOutcome::Unknown) {
            self.input(node, run, Input::StoreEra(era));
        }
        let outcome = outcome.with_era(era);
        self.input(node, run, Input::Store { task, outcome });
    }

    pub(super) fn housekeeping(&mut self) {
        self.schedule(HOUSEKEEPING, Event::Housekeeping);
        let goes_back = |fault: &Fault| matches!(fault.trouble, Trouble::StoreGoesBack { .. });
        if self.faults.iter().any(goes_back) {
            self.store_state.copy(self.now, &self.store);
        }
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
