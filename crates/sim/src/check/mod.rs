//! Checkers of what must always hold, one module a point.
//!
//! They are fed only by the world's record of what took effect, never by what
//! beamtray says of itself, except for the answers that callers and operators
//! were given, which are what is being checked.

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

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// A key has at most one owner at any instant.
    SoleOwner,
    /// An acknowledged assignment survives.
    AssignmentSurvives,
    /// Every caller gets the whole answer to its own request, and only that.
    OwnWholeAnswer,
    /// A request refused as not run did not run.
    RefusedNotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A back end that leaves receives nothing new.
    Drain,
    /// A planned stop cuts nothing off.
    PlannedStop,
    /// An accepted configuration is in force within seconds, never an older one.
    Configuration,
    /// After the faults every key is served again.
    Liveness,
}

impl Invariant {
    /// All points in the order of the proofs.
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

    /// The point's name in reports.
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

/// What a checker found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The point.
    pub invariant: Invariant,
    /// How often the history put it to the test.
    pub exercised: u64,
    /// What broke it, in words, with the world's time in microseconds.
    pub violations: Vec<String>,
}

/// Runs every checker.
pub fn check_all(history: &History) -> Vec<Finding> {
    Invariant::ALL
        .into_iter()
        .map(|invariant| check(invariant, history))
        .collect()
}

/// Runs the checker of one point.
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
