//! A non-repeatable request executes at most once.

use super::requests::collect_requests;
use crate::record::History;

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut exercised = 0;
    let mut violations = Vec::new();
    for (name, request) in collect_requests(history) {
        if request.repeatable {
            continue;
        }
        // Only a request whose first attempt failed gives a reason to retry.
        if request.is_uncertain() || request.arrivals.len() > 1 {
            exercised += 1;
        }
        if request.effects.len() > 1 {
            let times: Vec<u64> = request.effects.iter().map(|(at, _)| *at).collect();
            violations.push(format!("{name} ran at {times:?}"));
        }
    }
    (exercised, violations)
}
