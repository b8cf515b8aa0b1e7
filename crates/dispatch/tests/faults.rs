//! Upstreams that respond with failures.

mod common;

use beamtray_dispatch::{AttemptOutcome, Dispatcher, LoadReport, NodeHash, Ticket};
use common::*;

/// Sends a request, ends it after 10 ms and returns its upstream. If `near_fails`, "near"
/// responds with a failure.
fn send(node: &mut Dispatcher, ticket: u64, time: u64, near_fails: bool) -> String {
    node.admit(at(time), Ticket(ticket), &head("/order/1", None))
        .expect("it is admitted");
    let forward = forwarded(node.poll(at(time), &directory())).expect("it is sent");
    let fails = near_fails && forward.upstream.name.0 == "near";
    let outcome = AttemptOutcome::Answered { success: !fails };
    node.attempt_ended(at(time + 10), Ticket(ticket), outcome);
    forward.upstream.name.0
}

/// Guards against upstreams that fail fast and, being always idle, get every request of their
/// zone.
#[test]
fn a_failing_upstream_gets_fewer_requests_for_a_while() {
    let mut node = dispatcher();
    let sent: Vec<String> = (0..20)
        .map(|index| send(&mut node, index, index * 20, true))
        .collect();
    let failed = sent.iter().filter(|one| *one == "near").count();
    assert!((1..=4).contains(&failed), "{failed} of 20 failed");
    assert_eq!(send(&mut node, 30, 30_000, false), "near");
}

#[test]
fn failures_are_reported_to_other_nodes() {
    let mut node = dispatcher();
    for index in 0..3 {
        send(&mut node, index, index, true);
    }
    let answers = node.take_answers();
    let failures: u32 = answers.iter().map(|one| u32::from(one.failures)).sum();
    assert!(failures > 0);
    let mut relay = dispatcher();
    let report = LoadReport {
        node: NodeHash(4),
        run: 1,
        sequence: 1,
        in_flight: Vec::new(),
        answers,
    };
    relay.apply_load_report(at(50), &report);
    assert_eq!(send(&mut relay, 1, 60, true), "far");
}
