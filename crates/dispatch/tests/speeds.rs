//! Upstreams whose speed is learned while they are busy.
//!
//! Seen: a busy key stayed with an upstream that takes 1.6 times as long as others and had
//! a queue all the time, while one that takes 0.7 times as long was idle. Cause: only
//! requests that found a free slot taught how fast an upstream is, and at a holder that
//! always has a queue there are none. Proof: below, without samples of those that queued it
//! counts as 1.4, where 2.0 is true.

mod common;

use beamtray_dispatch::{AttemptOutcome, Decision, Ticket, UpstreamHash};
use common::*;

/// What the work of a request takes at an upstream of usual speed.
const WORK_MS: u64 = 40;

#[test]
fn a_holder_that_always_has_a_queue_is_found_slow() {
    let mut node = dispatcher();
    let directory = directory();
    assign(&mut node, 1, held());
    // A few that found it idle, from before it was slow, teach the mean of the route.
    for number in 0..10 {
        let sent = number * 100;
        let ticket = Ticket(number);
        node.admit(at(sent), ticket, &head("/keyed/1", Some(5)))
            .expect("it is admitted");
        assert!(forwarded(node.poll(at(sent), &directory)).is_some());
        let success = AttemptOutcome::Answered { success: true };
        node.attempt_ended(at(sent + WORK_MS), ticket, success);
    }
    // Four under way at its two slots, which take twice as long now.
    let slow = 2 * WORK_MS;
    let mut under_way = Vec::new();
    for number in 10..120 {
        let now = 2_000 + (number - 10) * slow / 2;
        let done: Vec<Ticket> = under_way
            .extract_if(.., |(ends, _)| *ends <= now)
            .map(|(_, ticket)| ticket)
            .collect();
        for ticket in done {
            let success = AttemptOutcome::Answered { success: true };
            node.attempt_ended(at(now), ticket, success);
        }
        node.admit(at(now), Ticket(number), &head("/keyed/1", Some(5)))
            .expect("it is admitted");
        for decision in node.poll(at(now), &directory) {
            if let Decision::Forward(ticket, _) = decision {
                under_way.push((now + 2 * slow, ticket));
            }
        }
    }
    let holder = UpstreamHash::of(&"holder".into());
    let slowness = node.speeds().slowness(holder);
    assert!((1.5..=2.5).contains(&slowness), "{slowness}");
}
