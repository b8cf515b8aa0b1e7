//! Learning the speed of upstreams that are busy.
//!
//! Guards against never finding a busy holder slow. A busy key stayed with an upstream that
//! took 1.6 times as long as others and always had a queue, while one that took 0.7 times as
//! long was idle: speeds were learned only from requests that found a free slot, and a holder
//! that always has a queue gets none of these. Without samples from queued requests the holder
//! below counts as 1.4, where 2.0 is correct.

mod common;

use beamtray_dispatch::{AttemptOutcome, Decision, Ticket, UpstreamHash};
use common::*;

/// Duration of a request at an upstream of average speed.
const WORK_MS: u64 = 40;

#[test]
fn a_slow_holder_that_always_has_a_queue_counts_as_slow() {
    let mut node = dispatcher();
    let directory = directory();
    assign(&mut node, 1, held());
    // The first requests find the holder idle and not yet slow; they set the mean of the route.
    for number in 0..10 {
        let sent = number * 100;
        let ticket = Ticket(number);
        node.admit(at(sent), ticket, &head("/keyed/1", Some(5)))
            .expect("it is admitted");
        assert!(forwarded(node.poll(at(sent), &directory)).is_some());
        let success = AttemptOutcome::Answered { success: true };
        node.attempt_ended(at(sent + WORK_MS), ticket, success);
    }
    // Four requests in flight at its two slots, each taking twice as long now.
    let slow = 2 * WORK_MS;
    let mut in_flight = Vec::new();
    for number in 10..120 {
        let now = 2_000 + (number - 10) * slow / 2;
        let done: Vec<Ticket> = in_flight
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
                in_flight.push((now + 2 * slow, ticket));
            }
        }
    }
    let holder = UpstreamHash::of(&"holder".into());
    let slowness = node.speeds().slowness(holder);
    assert!((1.5..=2.5).contains(&slowness), "{slowness}");
}
