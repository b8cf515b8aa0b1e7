//! Slots that a relay allocates to the nodes of its zone.

mod common;

use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{
    AttemptOutcome, Decision, Dispatcher, SlotReply, SlotRequest, Ticket, UnknownCause,
    UpstreamHash,
};
use common::*;

fn hash(id: &str) -> UpstreamHash {
    UpstreamHash::of(&UpstreamId::from(id.to_owned()))
}

/// A node that has asked its relay about one request.
fn node_asking_relay() -> (Dispatcher, SlotRequest) {
    let mut node = dispatcher();
    node.set_slot_relay(true);
    node.admit(at(0), Ticket(1), &head("/order/1", None))
        .expect("it is admitted");
    let request = asked(node.poll(at(0), &directory())).expect("the relay is asked");
    (node, request)
}

fn asked(decisions: Vec<Decision>) -> Option<SlotRequest> {
    decisions.into_iter().find_map(|decision| match decision {
        Decision::AskSlot(request) => Some(request),
        _ => None,
    })
}

fn reply(ticket: Ticket, upstream: Option<&str>) -> SlotReply {
    SlotReply {
        ticket,
        upstream: upstream.map(hash),
    }
}

#[test]
fn a_request_goes_to_the_upstream_that_the_relay_selects() {
    let (mut node, request) = node_asking_relay();
    node.handle_slot_reply(at(2), reply(request.ticket, Some("far")));
    let forward = forwarded(node.poll(at(2), &directory())).expect("it is sent");
    assert_eq!(forward.upstream.name.0, "far");
}

#[test]
fn a_request_is_sent_if_the_relay_does_not_reply() {
    let (mut node, _) = node_asking_relay();
    assert!(node.poll(at(20), &directory()).is_empty());
    assert_eq!(node.next_due(), Some(at(40)));
    assert!(forwarded(node.poll(at(40), &directory())).is_some());
}

#[test]
fn an_unresponsive_relay_is_not_asked_for_a_while() {
    let (mut node, _) = node_asking_relay();
    node.poll(at(40), &directory());
    let mut admit = |ticket, time| {
        node.admit(at(time), Ticket(ticket), &head("/order/1", None))
            .expect("it is admitted");
        let is_asked = asked(node.poll(at(time), &directory())).is_some();
        node.poll(at(time + 40), &directory());
        is_asked
    };
    assert!(admit(2, 50));
    assert!(!admit(3, 100));
    assert!(admit(4, 400));
}

#[test]
fn a_late_reply_is_ignored() {
    let (mut node, request) = node_asking_relay();
    let forward = forwarded(node.poll(at(40), &directory())).expect("it is sent");
    node.handle_slot_reply(at(41), reply(request.ticket, Some("far")));
    assert!(node.poll(at(41), &directory()).is_empty());
    assert_eq!(forward.upstream.name.0, "near");
}

/// Nodes that select from outdated sums would all choose the same upstream.
#[test]
fn slots_allocated_at_once_go_to_different_upstreams() {
    let mut relay = dispatcher();
    let (_, request) = node_asking_relay();
    relay.apply_load_report(at(0), &request.report);
    let mut allocated = Vec::new();
    for node in 0..8 {
        let mut request = request.clone();
        request.report.node.0 += node;
        relay.apply_load_report(at(1), &request.report);
        allocated.extend(relay.allocate_slot(at(1), &directory(), &request).upstream);
    }
    let near = allocated.iter().filter(|one| **one == hash("near")).count();
    assert_eq!(allocated.len(), 8);
    assert!(
        (4..=5).contains(&near),
        "{near} of 8 to the upstream of the own zone"
    );
}

/// An allocated slot counts until the node's report includes it, and only once.
#[test]
fn a_report_replaces_the_slots_allocated_before() {
    let mut relay = dispatcher();
    let (_, mut request) = node_asking_relay();
    relay.apply_load_report(at(0), &request.report);
    relay.allocate_slot(at(1), &directory(), &request);
    assert_eq!(relay.occupancy().total(hash("near")), 1);
    request.report.sequence += 1;
    relay.apply_load_report(at(5), &request.report);
    assert_eq!(
        relay.occupancy().total(hash("near")),
        1,
        "the report may not include the request yet"
    );
    request.report.sequence += 1;
    relay.apply_load_report(at(30), &request.report);
    assert_eq!(relay.occupancy().total(hash("near")), 0);
}

#[test]
fn an_unreachable_upstream_is_not_allocated_to_the_same_node_again() {
    let (mut node, request) = node_asking_relay();
    node.handle_slot_reply(at(2), reply(request.ticket, Some("near")));
    assert!(forwarded(node.poll(at(2), &directory())).is_some());
    node.attempt_ended(
        at(300),
        Ticket(1),
        AttemptOutcome::Unknown(UnknownCause::TimedOut),
    );
    node.admit(at(301), Ticket(2), &head("/order/2", None))
        .expect("it is admitted");
    let request = asked(node.poll(at(301), &directory())).expect("the relay is asked");
    assert_eq!(request.unreachable, [hash("near")]);
    let mut relay = dispatcher();
    relay.apply_load_report(at(301), &request.report);
    let reply = relay.allocate_slot(at(301), &directory(), &request);
    assert_eq!(reply.upstream, Some(hash("far")));
}

#[test]
fn a_request_without_a_slot_asks_again_and_is_refused_in_time() {
    let (mut node, request) = node_asking_relay();
    node.handle_slot_reply(at(2), reply(request.ticket, None));
    assert!(node.poll(at(10), &directory()).is_empty());
    let again = asked(node.poll(at(32), &directory())).expect("the relay is asked again");
    node.handle_slot_reply(at(34), reply(again.ticket, None));
    assert!(concluded(node.poll(at(90), &directory())).is_some());
}
