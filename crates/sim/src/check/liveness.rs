//! Every key and every pool is served again some seconds after the faults end.
//!
//! Without this check, rejecting every request would satisfy the other
//! invariants.

use super::requests::collect_requests;
use crate::record::{CallerView, History, Record};

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let faults = history
        .records
        .iter()
        .filter(|timed| matches!(timed.record, Record::Fault { .. }))
        .count() as u64;
    let mut violations = Vec::new();
    let mut final_requests = 0;
    for (name, request) in collect_requests(history) {
        if !request.after_faults {
            continue;
        }
        final_requests += 1;
        if !matches!(request.answer(), Some(CallerView::Complete { .. })) {
            violations.push(format!(
                "at {}: {name}, after all faults, was told {:?}",
                request.sent,
                request.answer()
            ));
        }
    }
    if final_requests == 0 {
        violations.push("nothing was asked after the faults".to_owned());
    }
    (faults, violations)
}
