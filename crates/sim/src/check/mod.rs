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

pub use survival::exposed;

use crate::record::History;
use serde::{Deserialize, Serialize};

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
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

impl Point {
    /// All points in the order of the proofs.
    pub const ALL: [Point; 9] = [
        Point::SoleOwner,
        Point::AtMostOnce,
        Point::RefusedNotRun,
        Point::AssignmentSurvives,
        Point::OwnWholeAnswer,
        Point::Configuration,
        Point::Drain,
        Point::PlannedStop,
        Point::Liveness,
    ];

    /// The point's name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Point::SoleOwner => "sole-owner",
            Point::AssignmentSurvives => "assignment-survives",
            Point::OwnWholeAnswer => "own-whole-answer",
            Point::RefusedNotRun => "refused-not-run",
            Point::AtMostOnce => "at-most-once",
            Point::Drain => "drain",
            Point::PlannedStop => "planned-stop",
            Point::Configuration => "configuration",
            Point::Liveness => "liveness",
        }
    }
}

/// What a checker found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The point.
    pub point: Point,
    /// How often the history put it to the test.
    pub stressed: u64,
    /// What broke it, in words, with the world's time in microseconds.
    pub violations: Vec<String>,
}

/// Runs every checker.
pub fn check_all(history: &History) -> Vec<Finding> {
    Point::ALL
        .into_iter()
        .map(|point| check(point, history))
        .collect()
}

/// Runs the checker of one point.
pub fn check(point: Point, history: &History) -> Finding {
    let (stressed, violations) = match point {
        Point::SoleOwner => sole_owner::check(history),
        Point::AssignmentSurvives => survival::check(history),
        Point::OwnWholeAnswer => answers::check(history),
        Point::RefusedNotRun => refusal::check(history),
        Point::AtMostOnce => at_most_once::check(history),
        Point::Drain => drain::check(history),
        Point::PlannedStop => planned_stop::check(history),
        Point::Configuration => configuration::check(history),
        Point::Liveness => liveness::check(history),
    };
    Finding {
        point,
        stressed,
        violations,
    }
}
