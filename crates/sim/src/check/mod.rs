//! Invariant checkers, one module per invariant.
//!
//! The checkers read only the world's record of effects, never beamtray's own
//! reports of its state. The exception is the responses to callers and
//! operators, which are themselves under test.

mod answers;
mod at_most_once;
mod configuration;
mod drain;
mod liveness;
mod planned_stop;
mod refusal;
mod requests;
mod sole_owner;
mod survival;

pub use survival::rolled_back_grants;

use crate::record::History;
use serde::{Deserialize, Serialize};

/// A property that every history must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// A key has at most one owner at any instant.
    SoleOwner,
    /// An acknowledged assignment survives.
    AssignmentSurvives,
    /// Every caller receives the complete response to its own request and no other.
    OwnWholeAnswer,
    /// A request rejected as not executed was never executed.
    RefusedNotRun,
    /// A non-repeatable request executes at most once.
    AtMostOnce,
    /// A draining back end receives no new requests.
    Drain,
    /// A planned stop interrupts no request in flight.
    PlannedStop,
    /// An accepted configuration takes effect within seconds and never reverts to an
    /// older revision.
    Configuration,
    /// Every key is served again after the faults end.
    Liveness,
}

impl Invariant {
    /// All invariants, in the order in which they are reported.
    pub const ALL: [Invariant; 9] = [
        Invariant::SoleOwner,
        Invariant::AtMostOnce,
        Invariant::RefusedNotRun,
        Invariant::AssignmentSurvives,
        Invariant::OwnWholeAnswer,
        Invariant::Configuration,
        Invariant::Drain,
        Invariant::PlannedStop,
        Invariant::Liveness,
    ];

    /// The invariant's name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Invariant::SoleOwner => "sole-owner",
            Invariant::AssignmentSurvives => "assignment-survives",
            Invariant::OwnWholeAnswer => "own-whole-answer",
            Invariant::RefusedNotRun => "refused-not-run",
            Invariant::AtMostOnce => "at-most-once",
            Invariant::Drain => "drain",
            Invariant::PlannedStop => "planned-stop",
            Invariant::Configuration => "configuration",
            Invariant::Liveness => "liveness",
        }
    }
}

/// The result of one checker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The checked invariant.
    pub invariant: Invariant,
    /// Number of situations in the history that exercised the invariant.
    pub exercised: u64,
    /// Descriptions of the violations, with world time in microseconds.
    pub violations: Vec<String>,
}

/// Runs every checker.
pub fn check_all(history: &History) -> Vec<Finding> {
    Invariant::ALL
        .into_iter()
        .map(|invariant| check(invariant, history))
        .collect()
}

/// Runs the checker of one invariant.
pub fn check(invariant: Invariant, history: &History) -> Finding {
    let (exercised, violations) = match invariant {
        Invariant::SoleOwner => sole_owner::check(history),
        Invariant::AssignmentSurvives => survival::check(history),
        Invariant::OwnWholeAnswer => answers::check(history),
        Invariant::RefusedNotRun => refusal::check(history),
        Invariant::AtMostOnce => at_most_once::check(history),
        Invariant::Drain => drain::check(history),
        Invariant::PlannedStop => planned_stop::check(history),
        Invariant::Configuration => configuration::check(history),
        Invariant::Liveness => liveness::check(history),
    };
    Finding {
        invariant,
        exercised,
        violations,
    }
}
