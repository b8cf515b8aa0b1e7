//! Log lines and metrics about the work of decisions.

use super::Observer;
use crate::shell::metrics::WakeupLabel;
use beamtray_dispatch::DecisionWork;
use slog::warn;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Interval in which the work is compared with what is usual.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Rounds of decisions in such an interval from which they are reported.
const MANY_ROUNDS: u64 = 1_000;
/// Upstreams examined in such an interval from which they are reported.
const MANY_EXAMINED: u64 = 50_000;

/// What woke the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wakeup {
    /// An input.
    Input,
    /// The end of the interval between ticks.
    Tick,
    /// A decision on a request that was due.
    Due,
}

impl Wakeup {
    fn name(self) -> &'static str {
        match self {
            Self::Input => "input",
            Self::Tick => "tick",
            Self::Due => "due",
        }
    }
}

/// The work at the start of the current interval.
#[derive(Debug)]
pub(super) struct DecisionReview {
    began: Cell<Instant>,
    work: Cell<DecisionWork>,
    due_wakeups: Cell<u64>,
}

impl DecisionReview {
    pub fn new() -> Self {
        Self {
            began: Cell::new(Instant::now()),
            work: Cell::default(),
            due_wakeups: Cell::default(),
        }
    }
}

impl Observer {
    /// The core was woken.
    pub fn woken(&self, wakeup: Wakeup) {
        let cause = wakeup.name();
        self.metrics
            .wakeups
            .get_or_create(&WakeupLabel { cause })
            .inc();
        if wakeup == Wakeup::Due {
            let review = &self.decision_review;
            review.due_wakeups.set(review.due_wakeups.get() + 1);
        }
    }

    /// Reports the decisions since the last interval if they were unusually many.
    pub fn review_decisions(&self, work: DecisionWork, waiting: usize) {
        let review = &self.decision_review;
        let took = review.began.get().elapsed();
        if took < REVIEW_INTERVAL {
            return;
        }
        let done = work.since(review.work.replace(work));
        let due_wakeups = review.due_wakeups.take();
        review.began.set(Instant::now());
        if done.rounds < MANY_ROUNDS && done.examined < MANY_EXAMINED {
            return;
        }
        warn!(self.log, "many_decisions"; "rounds" => done.rounds, "decisions" => done.decisions,
            "examined" => done.examined, "due_wakeups" => due_wakeups, "waiting" => waiting,
            "in_ms" => took.as_millis() as u64);
    }
}
