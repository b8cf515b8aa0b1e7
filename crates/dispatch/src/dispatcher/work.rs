//! Counts of the work that decisions take.
//!
//! A node has a tenth of a core. Decisions that examine many upstreams, or that are made again
//! with nothing new, take the time that responses need, and no other figure shows it.

use super::Dispatcher;
use std::cell::Cell;

/// Work of a dispatcher since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionWork {
    /// Rounds of decisions about all waiting requests.
    pub rounds: u64,
    /// Decisions about single requests.
    pub decisions: u64,
    /// Upstreams, and nodes on the way to them, that decisions examined.
    pub examined: u64,
}

impl DecisionWork {
    /// The work of two dispatchers.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rounds: self.rounds + other.rounds,
            decisions: self.decisions + other.decisions,
            examined: self.examined + other.examined,
        }
    }

    /// The work since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            rounds: self.rounds - earlier.rounds,
            decisions: self.decisions - earlier.decisions,
            examined: self.examined - earlier.examined,
        }
    }
}

/// Counts the work of a dispatcher.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkCounter {
    pub rounds: u64,
    pub decisions: u64,
    examined: Cell<u64>,
}

impl WorkCounter {
    /// Counts an upstream that a decision examines.
    pub fn examine(&self) {
        self.examined.set(self.examined.get() + 1);
    }
}

impl Dispatcher {
    /// The work of decisions so far.
    pub fn decision_work(&self) -> DecisionWork {
        DecisionWork {
            rounds: self.work.rounds,
            decisions: self.work.decisions,
            examined: self.work.examined.get() + self.gateways.examined(),
        }
    }
}
