//! Terms that did not observe the preceding one: an upstream may have a grant in flight.

mod common;

use beamtray_catalog::UpstreamId;
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, FencingToken, GrantReply, Granter, OrderKind, SliceState,
};
use common::*;

/// When the successor begins, in milliseconds.
const BEGIN_MS: u64 = 3_000;
/// When no grant of the preceding term can be executed or be in force any more: the lifetime of
/// orders, a grant by a clock that is 2% slow, and transit.
const IN_FLIGHT_MS: u64 = 12_000 + 3_060 + 300;
/// Longest time without an owner if grants that were executed at once are waited for.
const OWNED_AGAIN_MS: u64 = 4_950;

fn record() -> AssignmentRecord {
    let mut granter = granted();
    granter.mark_dirty();
    granter.take_record().expect("a record")
}

fn registered(names: &[&str]) -> Vec<Candidate> {
    names.iter().map(|name| ready(name, None)).collect()
}

fn is_of_a(record: &AssignmentRecord, order_range: beamtray_sharding::KeyRange) -> bool {
    record.slices.iter().any(|slice| {
        let held = matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id("a"));
        held && slice.range.overlaps(order_range)
    })
}

/// Runs a successor in which "a" does not answer, from its begin until all time is over.
/// Returns how long after that another upstream was granted keys of "a", and the record at the
/// given time.
fn moved_after(
    granter: &mut Granter,
    begin: u64,
    end: u64,
    candidates: impl Fn(u64) -> Vec<Candidate>,
) -> (Option<u64>, AssignmentRecord) {
    let original = record();
    let mut newest = original.clone();
    let mut moved = None;
    for now in (begin..end).step_by(10) {
        granter.set_candidates(at(now), candidates(now));
        for order in granter.poll(at(now)) {
            if order.holder == id("a") {
                granter.handle_reply(at(now), order.call, GrantReply::Undelivered);
                continue;
            }
            if matches!(order.kind, OrderKind::Grant { .. }) && is_of_a(&original, order.range) {
                moved.get_or_insert(now - begin);
            }
            answer(granter, at(now), &order);
        }
        newest = write_record(granter, at(now)).unwrap_or(newest);
    }
    (moved, newest)
}

fn successor(epoch: u64, begin: u64, record: &AssignmentRecord) -> Granter {
    let mut granter = Granter::new(at(begin), timing(), Epoch(epoch), Some(record));
    granter.mark_dirty();
    granter
}

/// Guards against a delayed grant that is executed after its keys were assigned to another
/// upstream, although the record does not name it.
#[test]
fn keys_of_a_silent_holder_wait_for_grants_in_flight() {
    let mut granter = successor(2, BEGIN_MS, &record());
    granter.assume_grants_in_flight(at(BEGIN_MS));
    let all = |_| registered(&["a", "b"]);
    let (moved, _) = moved_after(&mut granter, BEGIN_MS, BEGIN_MS + 20_000, all);
    let moved = moved.expect("the keys of a move in the end");
    assert!(moved >= IN_FLIGHT_MS, "moved after {moved} ms");
}

/// Guards against the same if the registration expires: the holder may be cut off from the
/// store, too.
#[test]
fn they_wait_although_its_registration_expires() {
    let mut granter = successor(2, BEGIN_MS, &record());
    granter.assume_grants_in_flight(at(BEGIN_MS));
    let candidates = |now| match now < BEGIN_MS + 3_000 {
        true => registered(&["a", "b"]),
        false => registered(&["b"]),
    };
    let (moved, _) = moved_after(&mut granter, BEGIN_MS, BEGIN_MS + 20_000, candidates);
    let moved = moved.expect("the keys of a move in the end");
    assert!(moved >= IN_FLIGHT_MS, "moved after {moved} ms");
}

/// Guards against a wait for all silent holders after the loss of a granter alone.
#[test]
fn they_go_on_in_time_if_a_process_observed_the_term() {
    let mut granter = successor(2, BEGIN_MS, &record());
    granter.assume_grants_in_flight(at(BEGIN_MS));
    granter.rule_out_grants_in_flight();
    let all = |_| registered(&["a", "b"]);
    let (moved, _) = moved_after(&mut granter, BEGIN_MS, BEGIN_MS + 20_000, all);
    let moved = moved.expect("the keys of a move");
    assert!(moved <= OWNED_AGAIN_MS, "moved after {moved} ms");
}

/// Guards against a third term that trusts the record of the second: it observed that one, and
/// not the one whose grants were in flight.
#[test]
fn the_next_term_waits_by_the_record() {
    let mut granter = successor(2, BEGIN_MS, &record());
    granter.assume_grants_in_flight(at(BEGIN_MS));
    let all = |_| registered(&["a", "b"]);
    let (moved, newest) = moved_after(&mut granter, BEGIN_MS, BEGIN_MS + 4_000, all);
    assert_eq!(moved, None);
    let mut third = successor(3, BEGIN_MS + 4_000, &newest);
    let (moved, _) = moved_after(&mut third, BEGIN_MS + 4_000, BEGIN_MS + 24_000, all);
    let moved = moved.expect("the keys of a move in the end");
    assert!(moved + 4_000 >= IN_FLIGHT_MS, "moved after {moved} ms");
}

/// Guards against renewals that do not outdate grants in flight: the first reply of a holder
/// ends the wait for it.
#[test]
fn holders_are_renewed_under_tokens_of_the_term_at_once() {
    let mut granter = successor(2, BEGIN_MS, &record());
    granter.assume_grants_in_flight(at(BEGIN_MS));
    granter.set_candidates(at(BEGIN_MS), registered(&["a", "b"]));
    let orders = granter.poll(at(BEGIN_MS));
    assert!(!orders.is_empty(), "nothing was renewed");
    let first = FencingToken::new(Epoch(2), 0);
    assert!(orders.iter().all(|order| order.token >= first));
    let holders: Vec<UpstreamId> = orders.iter().map(|order| order.holder.clone()).collect();
    assert!(holders.contains(&id("a")) && holders.contains(&id("b")));
}
