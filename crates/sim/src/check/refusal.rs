//! When a caller is told that its request was refused and not run, it truly
//! did not run, then or later.

use super::requests::gather;
use crate::record::{CallerView, History};

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut stressed = 0;
    let mut violations = Vec::new();
    for (name, request) in gather(history) {
        if !matches!(request.answer(), Some(CallerView::NotRun { .. })) {
            continue;
        }
        stressed += 1;
        if let Some((at, _)) = request.effects.first() {
            let told = request.answered_at();
            violations.push(format!("{name} ran at {at} and was refused at {told}"));
        }
    }
    (stressed, violations)
}
