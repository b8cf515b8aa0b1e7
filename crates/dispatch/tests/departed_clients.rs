//! Requests whose clients leave while an attempt is in flight.

mod common;

use beamtray_dispatch::{AttemptOutcome, NotExecuted, Ticket, UpstreamHash};
use common::*;

const REQUEST: Ticket = Ticket(1);

/// Guards against a request being sent again for a client that has left: nobody was there to send
/// it, and it counted as in flight at its upstream for good.
#[test]
fn a_request_whose_client_left_is_not_sent_again() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    admit_order(&mut dispatcher, 1_000, REQUEST.0);
    let forward = forwarded(dispatcher.poll(at(1_000), &directory)).expect("it is sent");
    dispatcher.client_left(REQUEST);
    let proof = AttemptOutcome::NotExecuted(NotExecuted::Full);
    let ending = dispatcher.attempt_ended(at(1_010), REQUEST, proof);
    assert!(ending.is_some(), "it waits for another attempt");
    let decisions = dispatcher.poll(at(1_100), &directory);
    assert!(decisions.is_empty(), "{decisions:?}");
    let upstream = UpstreamHash::of(&forward.upstream);
    assert_eq!(dispatcher.occupancy().total(upstream), 0);
}

/// Guards against a request that waits for its retry being kept for a client that has left.
#[test]
fn a_waiting_request_is_dropped_when_its_client_leaves() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    admit_order(&mut dispatcher, 1_000, REQUEST.0);
    forwarded(dispatcher.poll(at(1_000), &directory)).expect("it is sent");
    let proof = AttemptOutcome::NotExecuted(NotExecuted::Full);
    let ending = dispatcher.attempt_ended(at(1_010), REQUEST, proof);
    assert!(ending.is_none(), "it does not wait for another attempt");
    dispatcher.client_left(REQUEST);
    let decisions = dispatcher.poll(at(1_100), &directory);
    assert!(decisions.is_empty(), "{decisions:?}");
}
