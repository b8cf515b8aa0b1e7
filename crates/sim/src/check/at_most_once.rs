//! A request that may not be repeated runs at most once.

use super::requests::gather;
use crate::record::History;

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut stressed = 0;
    let mut violations = Vec::new();
    for (name, request) in gather(history) {
        if request.repeatable {
            continue;
        }
        // Those whose first try went wrong are the ones that tempt to repeat.
        if request.is_uncertain() || request.arrivals.len() > 1 {
            stressed += 1;
        }
        if request.effects.len() > 1 {
            let times: Vec<u64> = request.effects.iter().map(|(at, _)| *at).collect();
            violations.push(format!("{name} ran at {times:?}"));
        }
    }
    (stressed, violations)
}
