//! Selection of upstreams and handling of failed attempts.

mod common;

use beamtray_catalog::{UpstreamId, UpstreamState};
use beamtray_dispatch::{
    AdmissionError, AttemptOutcome, Conclusion, InFlight, LoadReport, NodeHash, NotExecuted,
    Occupancy, SumSource, Ticket, UnknownCause, UpstreamHash,
};
use beamtray_sharding::{FencingToken, SliceState};
use common::*;

/// Another node's report of requests in flight.
fn report_of_peer(upstream: &str, requests: u8, sequence: u32) -> LoadReport {
    LoadReport {
        node: NodeHash(1),
        run: 1,
        sequence,
        in_flight: vec![InFlight {
            upstream: UpstreamHash::of(&UpstreamId::from(upstream.to_owned())),
            requests,
        }],
        answers: Vec::new(),
    }
}

#[test]
fn requests_that_the_configuration_does_not_allow_are_not_admitted() {
    let mut unconfigured = unconfigured();
    let denied = unconfigured.admit(at(1), Ticket(1), &head("/read/1", None));
    assert_eq!(denied, Err(AdmissionError::NoConfiguration));
    let mut dispatcher = dispatcher();
    let denied = dispatcher.admit(at(1), Ticket(1), &head("/elsewhere/", None));
    assert_eq!(denied, Err(AdmissionError::NoRoute));
    let denied = dispatcher.admit(at(1), Ticket(1), &head("/keyed/1", None));
    assert_eq!(denied, Err(AdmissionError::NoKey));
}

#[test]
fn the_own_zone_is_preferred_while_it_has_room() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    let mut zones = Vec::new();
    for ticket in 0..4 {
        dispatcher
            .admit(at(1), Ticket(ticket), &head("/read/1", None))
            .expect("admitted");
        let forward = forwarded(dispatcher.poll(at(1), &directory)).expect("sent");
        zones.push(forward.upstream.name.0);
    }
    assert_eq!(zones[..2], ["near", "near"]);
    assert!(zones[2..].contains(&"far".to_owned()));
}

#[test]
fn requests_of_other_nodes_count_as_load() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    dispatcher.apply_load_report(at(1), &report_of_peer("near", 3, 1));
    dispatcher
        .admit(at(2), Ticket(1), &head("/read/1", None))
        .expect("admitted");
    let forward = forwarded(dispatcher.poll(at(2), &directory)).expect("sent");
    assert_eq!(forward.upstream.name.0, "far");
    // An older report that arrives late is ignored.
    dispatcher.apply_load_report(at(3), &report_of_peer("near", 0, 1));
    assert_eq!(
        dispatcher
            .occupancy()
            .total(UpstreamHash::of(&UpstreamId::from("near"))),
        3
    );
    // Reports of a node that stopped reporting expire.
    dispatcher.expire(at(5_000));
    assert_eq!(
        dispatcher
            .occupancy()
            .total(UpstreamHash::of(&UpstreamId::from("near"))),
        0
    );
}

#[test]
fn non_repeatable_requests_are_retried_only_if_not_executed() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    dispatcher
        .admit(at(1), Ticket(1), &head("/order/1", None))
        .expect("admitted");
    forwarded(dispatcher.poll(at(1), &directory)).expect("sent");
    let full = AttemptOutcome::NotExecuted(NotExecuted::Full);
    assert!(dispatcher.attempt_ended(at(10), Ticket(1), full).is_none());
    let again = forwarded(dispatcher.poll(at(60), &directory)).expect("sent again");
    assert_eq!(again.attempt, 2);
    let broken = AttemptOutcome::Unknown(UnknownCause::BrokenOff);
    let end = dispatcher.attempt_ended(at(70), Ticket(1), broken);
    let end = end.map(|ending| ending.conclusion);
    assert_eq!(end, Some(Conclusion::Unknown(UnknownCause::BrokenOff)));
}

#[test]
fn an_unknown_outcome_is_never_followed_by_a_refusal() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    dispatcher
        .admit(at(1), Ticket(1), &head("/read/1", None))
        .expect("admitted");
    forwarded(dispatcher.poll(at(1), &directory)).expect("sent");
    let broken = AttemptOutcome::Unknown(UnknownCause::BrokenOff);
    assert!(
        dispatcher
            .attempt_ended(at(10), Ticket(1), broken)
            .is_none()
    );
    forwarded(dispatcher.poll(at(11), &directory)).expect("sent again");
    let full = AttemptOutcome::NotExecuted(NotExecuted::Full);
    let end = dispatcher.attempt_ended(at(20), Ticket(1), full);
    let end = end.map(|ending| ending.conclusion);
    assert_eq!(end, Some(Conclusion::Unknown(UnknownCause::BrokenOff)));
}

#[test]
fn retries_stay_within_the_budget() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    let mut repeats = 0;
    for ticket in 0..100 {
        let now = at(10 * ticket);
        dispatcher
            .admit(now, Ticket(ticket), &head("/read/1", None))
            .expect("admitted");
        forwarded(dispatcher.poll(now, &directory)).expect("sent");
        let broken = AttemptOutcome::Unknown(UnknownCause::WrongAnswer);
        if dispatcher
            .attempt_ended(now, Ticket(ticket), broken)
            .is_none()
        {
            repeats += 1;
            forwarded(dispatcher.poll(now, &directory)).expect("sent again");
            dispatcher.attempt_ended(
                now,
                Ticket(ticket),
                AttemptOutcome::Answered { success: true },
            );
        }
    }
    // A fifth of 100 requests plus the allowance of 10, less the safety margin.
    assert!((15..=30).contains(&repeats), "{repeats} repeats");
}

#[test]
fn a_keyed_request_goes_to_its_holder_with_the_assignment_number() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, held());
    dispatcher
        .admit(at(0), Ticket(1), &head("/keyed/1", Some(5)))
        .expect("admitted");
    let forward = forwarded(dispatcher.poll(at(0), &directory)).expect("sent");
    assert_eq!(forward.upstream.name.0, "holder");
    let assignment = forward.assignment.expect("an assignment");
    assert_eq!((assignment.epoch, assignment.sequence), (1, 1));
}

/// The granter may be lost while a holder drains: nodes stop sending on their own before the
/// drain time is over.
#[test]
fn a_draining_holder_gets_nothing_after_the_grace_period() {
    let (mut dispatcher, mut directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, held());
    let mut draining = record("holder", "keyed", "here", 8_003);
    draining.state = UpstreamState::Draining;
    directory.register(at(1_000), draining);
    dispatcher.apply_directory(at(1_000), &directory);
    let mut send = |ticket, millis| {
        dispatcher
            .admit(at(millis), Ticket(ticket), &head("/keyed/1", Some(5)))
            .expect("admitted");
        let sent = forwarded(dispatcher.poll(at(millis), &directory)).is_some();
        dispatcher.cancel(Ticket(ticket));
        sent
    };
    assert!(send(1, 1_500));
    assert!(send(2, 2_300));
    assert!(!send(3, 2_400));
    assert!(!send(4, 9_000));
}

#[test]
fn no_more_requests_are_sent_than_can_be_answered_in_time() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, held());
    let mut sent = 0;
    for ticket in 0..20 {
        dispatcher
            .admit(at(0), Ticket(ticket), &head("/keyed/1", Some(5)))
            .expect("admitted");
        sent += usize::from(forwarded(dispatcher.poll(at(0), &directory)).is_some());
    }
    // Two slots; the work is assumed to take a third of 400 ms until response times are known.
    assert!((3..=6).contains(&sent), "{sent} sent");
}

#[test]
fn backends_get_requests_by_weight() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    let mut other = 0;
    for ticket in 0..100 {
        let now = at(ticket);
        dispatcher
            .admit(now, Ticket(ticket), &head("/shared/1", None))
            .expect("admitted");
        let forward = forwarded(dispatcher.poll(now, &directory)).expect("sent");
        other += u32::from(forward.upstream.name.0 == "other");
        dispatcher.attempt_ended(
            now,
            Ticket(ticket),
            AttemptOutcome::Answered { success: true },
        );
    }
    assert_eq!(other, 10);
}

#[test]
fn an_unreachable_upstream_is_avoided_for_a_while() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    dispatcher
        .admit(at(0), Ticket(1), &head("/order/1", None))
        .expect("admitted");
    let first = forwarded(dispatcher.poll(at(0), &directory)).expect("sent");
    assert_eq!(first.upstream.name.0, "near");
    let unconnected = AttemptOutcome::NotExecuted(NotExecuted::Unconnected);
    assert!(
        dispatcher
            .attempt_ended(at(10), Ticket(1), unconnected)
            .is_none()
    );
    let second = forwarded(dispatcher.poll(at(10), &directory)).expect("sent again");
    assert_eq!(second.upstream.name.0, "far");
    // The first attempt never reached the upstream, so this is still attempt 1.
    assert_eq!(second.attempt, 1);
}

/// Guards against sending a request to the same former holder twice on the basis of an old
/// assignment, and refusing it then.
#[test]
fn a_rejected_keyed_request_goes_to_the_next_holder() {
    let (mut dispatcher, mut directory) = (dispatcher(), directory());
    directory.register(at(0), record("heir", "keyed", "here", 8_009));
    assign(&mut dispatcher, 1, held());
    dispatcher
        .admit(at(0), Ticket(1), &head("/keyed/1", Some(5)))
        .expect("admitted");
    forwarded(dispatcher.poll(at(0), &directory)).expect("sent");
    let denied = AttemptOutcome::NotExecuted(NotExecuted::Misdirected);
    assert!(dispatcher.attempt_ended(at(5), Ticket(1), denied).is_none());
    assert!(forwarded(dispatcher.poll(at(60), &directory)).is_none());
    let newer = SliceState::Held {
        holder: UpstreamId::from("heir".to_owned()),
        token: FencingToken(2),
    };
    assign(&mut dispatcher, 2, newer);
    let forward = forwarded(dispatcher.poll(at(61), &directory)).expect("sent again");
    assert_eq!(forward.upstream.name.0, "heir");
}

/// A relay that sums the requests in flight of its zone, and a node that reports to it.
#[test]
fn a_node_subtracts_its_own_report_from_a_sum() {
    let mut relay = Occupancy::default();
    let upstream = UpstreamHash(7);
    let mut node = Occupancy::default();
    node.begin(upstream);
    node.begin(upstream);
    let report = LoadReport {
        node: NodeHash(5),
        run: 1,
        sequence: 3,
        in_flight: vec![InFlight {
            upstream,
            requests: 2,
        }],
        answers: Vec::new(),
    };
    node.record_own_report(3, report.in_flight.clone());
    relay.begin(upstream);
    relay.apply_load_report(at(0), &report);
    for sum in relay.sum(1, true) {
        node.apply_load_sum(at(10), NodeHash(5), SumSource::OwnRelay, &sum);
    }
    assert_eq!(node.total(upstream), 3);
    node.end(upstream);
    assert_eq!(node.total(upstream), 2);
    node.expire(at(2_000));
    assert_eq!(node.total(upstream), 1);
}

#[test]
fn a_sum_in_parts_replaces_the_previous_one() {
    let mut relay = Occupancy::default();
    for upstream in 0..400 {
        relay.begin(UpstreamHash(upstream));
    }
    let mut other = Occupancy::default();
    let zone = SumSource::Zone(1);
    let parts = relay.sum(1, false);
    assert!(parts.len() > 1);
    for sum in &parts {
        other.apply_load_sum(at(0), NodeHash(9), zone, sum);
    }
    assert!((0..400).all(|upstream| other.total(UpstreamHash(upstream)) == 1));
    for upstream in 1..400 {
        relay.end(UpstreamHash(upstream));
    }
    for sum in &relay.sum(2, false) {
        other.apply_load_sum(at(50), NodeHash(9), zone, sum);
    }
    assert_eq!(other.total(UpstreamHash(0)), 1);
    assert!((1..400).all(|upstream| other.total(UpstreamHash(upstream)) == 0));
    // Relays of other zones are sent the sum of this zone only.
    assert!(
        other
            .sum(3, false)
            .iter()
            .all(|sum| sum.in_flight.is_empty())
    );
}
