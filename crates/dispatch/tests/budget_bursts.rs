//! The retry budget when many requests are rejected at the same time.

mod common;

use beamtray_dispatch::{AttemptOutcome, Decision, NotExecuted, Ticket};
use common::*;

const REQUESTS: u64 = 60;
const SLOTS: u32 = 64;
/// What the configuration of these tests allows in a window: its ratio for each request, and its
/// allowance.
const ALLOWED_RETRIES: usize = 12 + 10;

/// Guards against a burst of rejections that overspends the budget: each retry was allowed before
/// any of the others was counted.
#[test]
fn requests_rejected_at_once_keep_the_budget_of_retries() {
    let (mut dispatcher, mut directory) = (dispatcher(), directory());
    let mut holder = record("holder", "keyed", "here", 8_003);
    holder.slots = SLOTS;
    directory.register(at(0), holder);
    assign(&mut dispatcher, 1, held());
    for ticket in 0..REQUESTS {
        let head = head(&format!("/keyed/{ticket}"), Some(7));
        let admitted = dispatcher.admit(at(1_000), Ticket(ticket), &head);
        admitted.expect("it is admitted");
    }
    let sent = forwards(dispatcher.poll(at(1_000), &directory));
    assert_eq!(sent, REQUESTS as usize);
    for ticket in 0..REQUESTS {
        let proof = AttemptOutcome::NotExecuted(NotExecuted::Full);
        dispatcher.attempt_ended(at(1_010), Ticket(ticket), proof);
    }
    let retries: usize = (1_010..1_400)
        .step_by(10)
        .map(|millis| forwards(dispatcher.poll(at(millis), &directory)))
        .sum();
    assert!(retries > 0, "nothing is sent again");
    assert!(retries <= ALLOWED_RETRIES, "{retries} retries");
}

fn forwards(decisions: Vec<Decision>) -> usize {
    let forwards = decisions
        .iter()
        .filter(|decision| matches!(decision, Decision::Forward(..)));
    forwards.count()
}
