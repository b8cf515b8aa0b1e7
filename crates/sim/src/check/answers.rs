//! Every caller receives the whole answer to its own request, and only that.

use super::requests::gather;
use crate::record::{CallerView, History};

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut stressed = 0;
    let mut violations = Vec::new();
    for (name, request) in gather(history) {
        if request.arrivals.len() > 1 || request.is_uncertain() {
            stressed += 1;
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
    (stressed, violations)
}
