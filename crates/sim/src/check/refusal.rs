//! A request that was reported as rejected and not executed is never executed,
//! neither before nor after the response.

use super::requests::collect_requests;
use crate::record::{CallerView, History};

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut exercised = 0;
    let mut violations = Vec::new();
    for (name, request) in collect_requests(history) {
        if !matches!(request.answer(), Some(CallerView::NotRun { .. })) {
            continue;
        }
        exercised += 1;
        if let Some((at, _)) = request.effects.first() {
            let answered_at = request.answered_at();
            violations.push(format!(
                "{name} ran at {at} and was refused at {answered_at}"
            ));
        }
    }
    (exercised, violations)
}
