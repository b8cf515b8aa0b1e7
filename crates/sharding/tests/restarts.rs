//! Keys of an upstream that restarts under its name.

mod common;

use beamtray_catalog::{StartTimestamp, UpstreamId};
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, FencingToken, GrantOrder, GrantReply, Granter, KeyRange,
    OrderKind, SliceState,
};
use common::*;
use std::time::Duration;

fn born(birth: u64) -> UpstreamId {
    UpstreamId::with_start("restarts", StartTimestamp(birth))
}

fn candidate(id: UpstreamId) -> Candidate {
    Candidate {
        id,
        ..ready("", None)
    }
}

/// A granter that has granted all keys to the first incarnation and another upstream; returns
/// it with the highest token.
fn granted() -> (Granter, FencingToken) {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [candidate(born(1)), ready("other", None)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    let mut highest = FencingToken::default();
    loop {
        let orders = granter.poll(at(2_000));
        if orders.is_empty() {
            return (granter, highest);
        }
        for order in &orders {
            highest = highest.max(order.token);
            answer(&mut granter, at(2_000), order);
        }
    }
}

fn is_held_by(record: &AssignmentRecord, id: &UpstreamId) -> bool {
    let mut slices = record.slices.iter();
    slices.any(|slice| matches!(&slice.state, SliceState::Held { holder, .. } if holder == id))
}

fn is_grant(order: &GrantOrder) -> bool {
    matches!(order.kind, OrderKind::Grant { .. })
}

/// The second incarnation knows no tokens, so it may still accept an order on its way to the
/// first one. Until it has replied under a fresh token, its keys are assigned to nobody else
/// and none of them is renewed.
#[test]
fn keys_of_a_restart_are_first_revoked_under_a_fresh_token() {
    let (mut granter, highest) = granted();
    let now = at(2_100);
    granter.set_candidates(now, [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.poll(now).iter().filter(|o| is_grant(o)).count(), 0);
    let record = write_record(&mut granter, now).expect("record with leaving keys");
    assert!(!is_held_by(&record, &born(1)));
    let releases = granter.poll(at(2_120));
    assert!(!releases.is_empty());
    for release in &releases {
        assert_eq!(release.holder, born(1));
        assert_eq!(release.kind, OrderKind::Release);
        assert!(release.token > highest);
    }
    let unanswered = write_record(&mut granter, at(2_130));
    assert!(
        unanswered.is_none(),
        "no key is reassigned before the reply"
    );
}

#[test]
fn a_restart_gets_keys_under_higher_tokens_once_it_replies() {
    let (mut granter, highest) = granted();
    granter.set_candidates(at(2_100), [candidate(born(2)), ready("other", None)]);
    let mut granted = 0;
    for millis in (2_100..2_400).step_by(10) {
        for order in granter.poll(at(millis)) {
            if is_grant(&order) && order.holder == born(2) {
                assert!(order.token > highest);
                granted += 1;
            }
            answer(&mut granter, at(millis), &order);
        }
        write_record(&mut granter, at(millis));
    }
    assert!(granted > 0, "no key was granted again within 0.3 s");
}

/// An old order for keys that the first incarnation had returned may still arrive, and
/// nothing else would make the restart refuse it.
#[test]
fn a_restart_gets_no_keys_before_it_confirms_release_of_all_keys() {
    let (mut granter, _) = granted();
    granter.set_candidates(at(2_100), [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.unfenced_count(), 1);
    let mut asked = 0;
    for millis in (2_100..4_000).step_by(20) {
        for order in granter.poll(at(millis)) {
            assert!(order.holder != born(2) || order.kind == OrderKind::Release);
            if order.holder == born(2) {
                assert_eq!(order.range, KeyRange::ALL);
                asked += 1;
                granter.handle_reply(at(millis), order.call, GrantReply::Undelivered);
            } else {
                answer(&mut granter, at(millis), &order);
            }
        }
        write_record(&mut granter, at(millis));
    }
    assert!(asked > 5, "releases stopped before a reply");
    assert_eq!(granter.held_count(at(4_000)), granter.slice_count());
}

#[test]
fn reply_of_a_restart_ends_fencing_of_the_previous_incarnation() {
    let (mut granter, _) = granted();
    let mut now = at(2_000);
    while granter.unfenced_count() == 0 {
        now = now + Duration::from_millis(50);
        for order in granter.poll(now) {
            if order.holder == born(1) {
                granter.handle_reply(now, order.call, GrantReply::Undelivered);
            } else {
                answer(&mut granter, now, &order);
            }
        }
        write_record(&mut granter, now);
        assert!(now < at(20_000), "the upstream never lost its keys");
    }
    granter.set_candidates(now, [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.unfenced_count(), 2);
    let orders = granter.poll(now).into_iter();
    for order in orders.filter(|order| order.holder == born(2)) {
        answer(&mut granter, now, &order);
    }
    assert_eq!(granter.unfenced_count(), 0);
}

/// A successor knows the previous incarnation from the record only.
#[test]
fn a_successor_fences_a_restart_too() {
    let (mut granter, _) = granted();
    granter.mark_dirty();
    let record = granter.take_record().expect("a record is due");
    let mut successor = Granter::new(at(3_000), timing(), Epoch(2), Some(&record));
    successor.set_candidates(at(3_000), [candidate(born(2)), ready("other", None)]);
    let orders = successor.poll(at(3_000));
    let releases = orders.iter().filter(|order| order.holder == born(2));
    let kinds: Vec<&OrderKind> = releases.map(|order| &order.kind).collect();
    assert_eq!(kinds, [&OrderKind::Release]);
}

/// Nobody replies at the address of the previous incarnation, so its last grant must expire.
#[test]
fn keys_of_an_unresponsive_restart_wait_for_the_last_grant_to_expire() {
    let (mut granter, _) = granted();
    granter.set_candidates(at(2_100), [candidate(born(2)), ready("other", None)]);
    let lapses = at(2_000) + HOLD;
    for millis in (2_100..8_000).step_by(100) {
        for order in granter.poll(at(millis)) {
            if order.holder == born(1) {
                granter.handle_reply(at(millis), order.call, GrantReply::Undelivered);
            } else {
                answer(&mut granter, at(millis), &order);
            }
        }
        let Some(record) = write_record(&mut granter, at(millis)) else {
            continue;
        };
        let is_early = at(millis) < lapses;
        let of_first = slices_of_id(&record, &born(1));
        assert!(!is_early || of_first > 0, "{millis}");
    }
    assert_eq!(granter.held_count(at(8_000)), granter.slice_count());
}

fn slices_of_id(record: &AssignmentRecord, id: &UpstreamId) -> usize {
    let of_it = record.slices.iter().filter(|slice| match &slice.state {
        SliceState::Held { holder, .. } | SliceState::Leaving { holder, .. } => holder == id,
        SliceState::Free => false,
    });
    of_it.count()
}

/// The unresponsiveness of the previous incarnation does not keep keys from the next one.
#[test]
fn a_restart_is_not_excluded_for_an_unresponsive_previous_incarnation() {
    let (mut granter, _) = granted();
    let mut now = at(2_000);
    while now < at(8_000) {
        now = now + Duration::from_millis(50);
        for order in granter.poll(now) {
            if order.holder == born(1) {
                granter.handle_reply(now, order.call, GrantReply::Unanswered);
            } else {
                answer(&mut granter, now, &order);
            }
        }
        write_record(&mut granter, now);
    }
    granter.set_candidates(now, [candidate(born(2)), ready("other", None)]);
    granter.mark_terminated(&id("other"));
    for _ in 0..10 {
        now = now + Duration::from_millis(20);
        for order in granter.poll(now) {
            answer(&mut granter, now, &order);
        }
        write_record(&mut granter, now);
    }
    assert_eq!(granter.held_count(now), granter.slice_count());
}

/// A granter whose first incarnation vanished and returned all its keys: it holds nothing and
/// is not registered, so nothing names it.
fn returned_all_keys() -> (Granter, FencingToken) {
    let (mut granter, highest) = granted();
    granter.set_candidates(at(2_100), [ready("other", None)]);
    for millis in (2_100..6_000).step_by(20) {
        for order in granter.poll(at(millis)) {
            answer(&mut granter, at(millis), &order);
        }
        write_record(&mut granter, at(millis));
    }
    granter.set_candidates(at(6_000), [ready("other", None), ready("third", None)]);
    (granter, highest)
}

/// Guards against a restart that is not fenced. An upstream returned its keys and vanished; a
/// second later it was up again under its name, and for three seconds no order told it a
/// token, until it executed a delayed grant. Nothing named the previous incarnation any more,
/// since it held no keys and was not registered, so the restart was treated as a new
/// upstream.
#[test]
fn a_restart_is_fenced_even_if_the_previous_incarnation_returned_all_keys() {
    let (mut granter, highest) = returned_all_keys();
    granter.set_candidates(at(6_100), [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.unfenced_count(), 1);
    let orders = granter.poll(at(6_100)).into_iter();
    let orders: Vec<GrantOrder> = orders.filter(|order| order.holder == born(2)).collect();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].kind, OrderKind::Release);
    assert_eq!(orders[0].range, KeyRange::ALL);
    assert!(orders[0].token > highest);
}

/// By then no old order is left that it could accept: an order that is not accepted for a
/// minute is lost.
#[test]
fn a_restart_after_a_long_absence_is_a_new_upstream() {
    let (mut granter, _) = returned_all_keys();
    granter.set_candidates(at(70_000), [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.unfenced_count(), 0);
}
