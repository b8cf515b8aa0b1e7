//! Keys of an upstream that starts again under its name.

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

/// All keys granted to the first incarnation and to another upstream; the highest token.
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

/// The second incarnation has forgotten all tokens, so an order on its way to the first
/// one may still be taken by it: until it has answered under a fresh token its keys are
/// nobody else's, and none of them is renewed.
#[test]
fn keys_of_a_restart_are_taken_back_under_a_fresh_token_first() {
    let (mut granter, highest) = granted();
    let now = at(2_100);
    granter.set_candidates(now, [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.poll(now).iter().filter(|o| is_grant(o)).count(), 0);
    let record = write_record(&mut granter, now).expect("keys are leaving");
    assert!(!is_held_by(&record, &born(1)));
    let releases = granter.poll(at(2_120));
    assert!(!releases.is_empty());
    for release in &releases {
        assert_eq!(release.holder, born(1));
        assert_eq!(release.kind, OrderKind::Release);
        assert!(release.token > highest);
    }
    let unanswered = write_record(&mut granter, at(2_130));
    assert!(unanswered.is_none(), "no key goes to another before");
}

#[test]
fn a_restart_gets_keys_again_under_higher_tokens_as_soon_as_it_answers() {
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
    assert!(granted > 0, "served again within 0.3 s");
}

/// An old order of keys that the one before had given back may still come: nothing else
/// would make the restart refuse it.
#[test]
fn a_restart_gets_no_keys_before_it_has_answered_for_all() {
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
                granter.handle(at(millis), order.call, GrantReply::Undelivered);
            } else {
                answer(&mut granter, at(millis), &order);
            }
        }
        write_record(&mut granter, at(millis));
    }
    assert!(asked > 5, "it is asked until it answers");
    assert_eq!(granter.held_count(at(4_000)), granter.slice_count());
}

#[test]
fn the_answer_of_a_restart_ends_what_the_one_before_owes() {
    let (mut granter, _) = granted();
    let mut now = at(2_000);
    while granter.unfenced_count() == 0 {
        now = now + Duration::from_millis(50);
        for order in granter.poll(now) {
            if order.holder == born(1) {
                granter.handle(now, order.call, GrantReply::Undelivered);
            } else {
                answer(&mut granter, now, &order);
            }
        }
        write_record(&mut granter, now);
        assert!(now < at(20_000), "it lost its keys without an answer");
    }
    granter.set_candidates(now, [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.unfenced_count(), 2);
    let orders = granter.poll(now).into_iter();
    for order in orders.filter(|order| order.holder == born(2)) {
        answer(&mut granter, now, &order);
    }
    assert_eq!(granter.unfenced_count(), 0);
}

/// A successor knows the one before from the record only.
#[test]
fn a_successor_fences_a_restart_too() {
    let (mut granter, _) = granted();
    granter.not_written();
    let record = granter.record().expect("it is due");
    let mut successor = Granter::new(at(3_000), timing(), Epoch(2), Some(&record));
    successor.set_candidates(at(3_000), [candidate(born(2)), ready("other", None)]);
    let orders = successor.poll(at(3_000));
    let releases = orders.iter().filter(|order| order.holder == born(2));
    let kinds: Vec<&OrderKind> = releases.map(|order| &order.kind).collect();
    assert_eq!(kinds, [&OrderKind::Release]);
}

/// Nobody answers at the address of the one before: its last grant is waited for.
#[test]
fn keys_of_a_restart_that_does_not_answer_wait_for_the_last_grant() {
    let (mut granter, _) = granted();
    granter.set_candidates(at(2_100), [candidate(born(2)), ready("other", None)]);
    let lapses = at(2_000) + HOLD;
    for millis in (2_100..8_000).step_by(100) {
        for order in granter.poll(at(millis)) {
            if order.holder == born(1) {
                granter.handle(at(millis), order.call, GrantReply::Undelivered);
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

/// What was learned of the silence of the one before does not keep keys from the next.
#[test]
fn a_restart_is_not_avoided_for_the_silence_of_the_one_before() {
    let (mut granter, _) = granted();
    let mut now = at(2_000);
    while now < at(8_000) {
        now = now + Duration::from_millis(50);
        for order in granter.poll(now) {
            if order.holder == born(1) {
                granter.handle(now, order.call, GrantReply::Unanswered);
            } else {
                answer(&mut granter, now, &order);
            }
        }
        write_record(&mut granter, now);
    }
    granter.set_candidates(now, [candidate(born(2)), ready("other", None)]);
    granter.proved_dead(&id("other"));
    for _ in 0..10 {
        now = now + Duration::from_millis(20);
        for order in granter.poll(now) {
            answer(&mut granter, now, &order);
        }
        write_record(&mut granter, now);
    }
    assert_eq!(granter.held_count(now), granter.slice_count());
}

/// The first incarnation vanished, gave its keys back to the last, and nothing holds or is
/// registered that would name it.
fn gave_all_back() -> (Granter, FencingToken) {
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

/// Seen: an upstream gave its keys back and vanished; a second later it was up again under
/// its name, and in three seconds nobody told it of a token, until it took a grant that had
/// been left lying. How: nothing named the one before any more, since it held no keys and was
/// not registered, so the one that came was taken for a new upstream. The simulator's lines
/// show it: no order at all to the restart between its start and that grant.
#[test]
fn a_restart_is_fenced_though_the_one_before_had_given_all_back() {
    let (mut granter, highest) = gave_all_back();
    granter.set_candidates(at(6_100), [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.unfenced_count(), 1);
    let orders = granter.poll(at(6_100)).into_iter();
    let orders: Vec<GrantOrder> = orders.filter(|order| order.holder == born(2)).collect();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].kind, OrderKind::Release);
    assert_eq!(orders[0].range, KeyRange::ALL);
    assert!(orders[0].token > highest);
}

/// Nothing is left then that it could take: what is not taken for a minute is lost.
#[test]
fn a_restart_long_after_is_a_new_upstream() {
    let (mut granter, _) = gave_all_back();
    granter.set_candidates(at(70_000), [candidate(born(2)), ready("other", None)]);
    assert_eq!(granter.unfenced_count(), 0);
}
