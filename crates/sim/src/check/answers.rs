//! Every caller receives the complete response to its own request and no other.

use super::requests::collect_requests;
use crate::record::{CallerView, History};

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut exercised = 0;
    let mut violations = Vec::new();
    for (name, request) in collect_requests(history) {
        if request.arrivals.len() > 1 || request.is_uncertain() {
            exercised += 1;
        }
        if request.answers.len() > 1 {
            violations.push(format!(
                "{name} was answered {} times",
                request.answers.len()
            ));
        }
        let Some(CallerView::Complete { body, .. }) = request.answer() else {
            continue;
        };
        let whole = request
            .effects
            .iter()
            .any(|(_, key)| *body == format!("{key} {name}"));
        if !whole {
            let at = request.answered_at();
            violations.push(format!("at {at}: {name} was answered {body:?}"));
        }
    }
    (exercised, violations)
}
