//! Keys whose holder may still execute a delayed grant.

mod common;

use beamtray_catalog::{StartTimestamp, UpstreamId};
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, CandidateState, FencingToken, GrantOrder, GrantReply, Granter,
    KeyRange, OrderKind, SliceRecord, SliceState,
};
use common::*;

/// Time from when a grant is given up on until it has expired: the lifetime of orders and a
/// grant by a clock that is 2% slow.
const GRANT_EXPIRY_MS: u64 = 12_000 + 3_060;

fn is_grant(order: &GrantOrder) -> bool {
    matches!(order.kind, OrderKind::Grant { .. })
}

/// Runs the granter until "a" receives its first grant without replying; "a" is unreachable
/// from then on. Returns that grant, when it was given up on, and the record written then.
fn leave_grant_unanswered(granter: &mut Granter) -> (GrantOrder, u64, AssignmentRecord) {
    for now in (2_010..4_000).step_by(10) {
        let mut delayed = None;
        for order in granter.poll(at(now)) {
            if order.holder != id("a") {
                answer(granter, at(now), &order);
            } else if delayed.is_none() {
                delayed = Some(order);
            } else {
                granter.handle_reply(at(now), order.call, GrantReply::Undelivered);
            }
        }
        if let Some(delayed) = delayed {
            let given_up = now + 500;
            granter.handle_reply(at(given_up), delayed.call, GrantReply::InDoubt);
            let record = write_record(granter, at(given_up)).expect("record with the doubt");
            return (delayed, given_up, record);
        }
    }
    panic!("a was sent no order");
}

/// When the keys of an order are assigned to "b", if "a" never replies.
fn reassigned_at(granter: &mut Granter, begin: u64, delayed: &GrantOrder) -> u64 {
    for now in (begin..begin + 40_000).step_by(10) {
        for order in granter.poll(at(now)) {
            match order.holder == id("a") {
                true => granter.handle_reply(at(now), order.call, GrantReply::Undelivered),
                false => answer(granter, at(now), &order),
            }
        }
        let Some(record) = write_record(granter, at(now)) else {
            continue;
        };
        let slice = record.slice(delayed.range.first).expect("a slice");
        if matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id("b")) {
            return now;
        }
    }
    panic!("the keys were never reassigned");
}

/// Guards against two owners: a holder was paused for 6.5 s, resumed, and accepted the grant
/// while another upstream was serving the keys.
#[test]
fn keys_of_a_delayed_grant_wait_until_it_has_expired() {
    let mut granter = granted();
    let (delayed, given_up, _) = leave_grant_unanswered(&mut granter);
    let moved_at = reassigned_at(&mut granter, given_up, &delayed);
    assert!(
        moved_at >= given_up + GRANT_EXPIRY_MS,
        "moved at {moved_at}"
    );
    assert!(
        moved_at <= given_up + GRANT_EXPIRY_MS + 200,
        "moved at {moved_at}"
    );
}

#[test]
fn other_keys_of_the_holder_are_reassigned_without_extra_delay() {
    let mut granter = granted();
    let (delayed, given_up, _) = leave_grant_unanswered(&mut granter);
    let mut left = usize::MAX;
    for now in (given_up..7_000).step_by(10) {
        for order in granter.poll(at(now)) {
            match order.holder == id("a") {
                true => granter.handle_reply(at(now), order.call, GrantReply::Undelivered),
                false => answer(&mut granter, at(now), &order),
            }
        }
        if let Some(record) = write_record(&mut granter, at(now)) {
            left = slices_of(&record, "a");
        }
    }
    assert_eq!(left, 1, "{delayed:?}");
}

/// Runs the granter until 6 s after the grant was given up on, when "a" becomes reachable
/// again, and then for up to 6 s more. Returns who is first granted the keys of the delayed
/// grant, and when.
fn reassigned_to(
    delayed: &GrantOrder,
    granter: &mut Granter,
    given_up: u64,
    last: Option<Candidate>,
) -> (UpstreamId, u64) {
    let begin = given_up + 6_000;
    for now in (given_up..begin).step_by(10) {
        for order in granter.poll(at(now)) {
            match order.holder == id("a") {
                true => granter.handle_reply(at(now), order.call, GrantReply::Undelivered),
                false => answer(granter, at(now), &order),
            }
        }
        write_record(granter, at(now));
    }
    granter.set_candidates(at(begin), last.into_iter().chain([ready("b", None)]));
    for now in (begin..begin + 6_000).step_by(10) {
        for order in granter.poll(at(now)) {
            if is_grant(&order) && order.range == delayed.range {
                return (order.holder, now - begin);
            }
            answer(granter, at(now), &order);
        }
        write_record(granter, at(now));
    }
    panic!("nobody got the keys");
}

#[test]
fn keys_in_doubt_move_at_once_when_a_draining_upstream_returns_them() {
    let mut granter = granted();
    let (delayed, given_up, _) = leave_grant_unanswered(&mut granter);
    let leaver = Candidate {
        state: CandidateState::Draining,
        ..ready("a", None)
    };
    let (holder, after) = reassigned_to(&delayed, &mut granter, given_up, Some(leaver));
    assert_eq!(holder, id("b"));
    assert!(after <= 400, "after {after} ms");
}

/// Guards against two owners after a re-registration: the entry of a restarted process was
/// removed together with that of the process before it, and the next restart executed the
/// delayed grant while another upstream had the keys.
#[test]
fn keys_in_doubt_wait_for_a_recently_registered_upstream() {
    let mut granter = granted();
    let (delayed, given_up, _) = leave_grant_unanswered(&mut granter);
    let (holder, after) = reassigned_to(&delayed, &mut granter, given_up, None);
    assert_eq!(holder, id("b"));
    assert!((4_000..=4_400).contains(&after), "after {after} ms");
}

/// The granter ends, and its successor finds the doubt in the record.
#[test]
fn a_successor_waits_for_the_delayed_grant() {
    let mut granter = granted();
    let (delayed, given_up, record) = leave_grant_unanswered(&mut granter);
    let doubted: Vec<KeyRange> = record.doubted.iter().map(|keys| keys.range).collect();
    assert_eq!(doubted, [delayed.range]);
    let begin = given_up + 1_000;
    let mut successor = Granter::new(at(begin), timing(), Epoch(2), Some(&record));
    successor.set_candidates(at(begin), [ready("a", None), ready("b", None)]);
    let moved_at = reassigned_at(&mut successor, begin, &delayed);
    assert!(
        moved_at >= given_up + GRANT_EXPIRY_MS,
        "moved at {moved_at}"
    );
}

fn born(birth: u64) -> Candidate {
    Candidate {
        id: UpstreamId::with_start("a", StartTimestamp(birth)),
        ..ready("", None)
    }
}

/// Guards against two owners after two restarts: an upstream terminated with a delayed grant and
/// was restarted twice. The second process executed the grant when its keys had moved from
/// the first restart to another upstream.
#[test]
fn keys_in_doubt_return_to_the_restart_of_their_holder() {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [born(1), ready("b", None)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    grant_all(&mut granter, at(2_000));
    let mut delayed = None;
    for now in (2_010..4_000).step_by(10) {
        for order in granter.poll(at(now)) {
            if order.holder == born(1).id && delayed.is_none() {
                granter.handle_reply(at(now), order.call, GrantReply::InDoubt);
                delayed = Some(order);
            } else {
                answer(&mut granter, at(now), &order);
            }
        }
        write_record(&mut granter, at(now));
    }
    let delayed = delayed.expect("a grant");
    granter.set_candidates(at(4_000), [born(2), ready("b", None)]);
    let mut holders = Vec::new();
    for now in (4_000..4_400).step_by(10) {
        for order in granter.poll(at(now)) {
            if is_grant(&order) && order.range == delayed.range {
                assert!(order.token > delayed.token);
                holders.push(order.holder.clone());
            }
            answer(&mut granter, at(now), &order);
        }
        write_record(&mut granter, at(now));
    }
    assert_eq!(holders, [born(2).id]);
}

#[test]
fn the_record_drops_doubts_that_have_ended() {
    let mut granter = granted();
    let (_, given_up, _) = leave_grant_unanswered(&mut granter);
    let mut doubted = usize::MAX;
    for now in (given_up..given_up + GRANT_EXPIRY_MS + 200).step_by(50) {
        for order in granter.poll(at(now)) {
            answer(&mut granter, at(now), &order);
        }
        if let Some(record) = write_record(&mut granter, at(now)) {
            doubted = record.doubted.len();
        }
    }
    assert_eq!(doubted, 0);
}

/// A grant is sent only to a process that has just replied to a probe, so that the buffers of
/// a paused process contain probes.
#[test]
fn a_liveness_probe_uses_a_key_of_another_holder_and_invalidates_nothing() {
    let mut granter = granted();
    let grants = granter.poll(at(2_700)).into_iter().filter(is_grant);
    let grants: Vec<GrantOrder> = grants.collect();
    assert!(!grants.is_empty());
    granter.mark_dirty();
    let record = granter.take_record().expect("a record");
    for grant in grants {
        let key = granter
            .key_held_by_other(&grant.holder)
            .expect("the other upstream holds keys");
        let slice = record.slice(key).expect("a slice");
        let holds = |state: &SliceState| matches!(state, SliceState::Held { holder, .. } if *holder == grant.holder);
        assert!(!holds(&slice.state));
        let probe = grant.liveness_probe(key);
        assert_eq!(probe.kind, OrderKind::Release);
        assert_eq!(probe.range.len(), 1);
        assert!(probe.token < grant.token);
    }
}

#[test]
fn a_holder_of_all_keys_is_not_probed() {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", None)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    grant_all(&mut granter, at(2_000));
    assert_eq!(granter.key_held_by_other(&id("a")), None);
}

/// Guards against restarting the wait with each successor, which left keys of a terminated
/// upstream without an owner for 25 s.
#[test]
fn successors_do_not_restart_the_wait() {
    let mut granter = granted();
    let (delayed, given_up, mut record) = leave_grant_unanswered(&mut granter);
    let mut begin = given_up;
    for term in 2..6 {
        begin += 4_000;
        let mut successor = Granter::new(at(begin), timing(), Epoch(term), Some(&record));
        successor.set_candidates(at(begin), [ready("a", None), ready("b", None)]);
        successor.mark_dirty();
        for now in (begin..begin + 3_000).step_by(10) {
            for order in successor.poll(at(now)) {
                match order.holder == id("a") {
                    true => successor.handle_reply(at(now), order.call, GrantReply::Undelivered),
                    false => answer(&mut successor, at(now), &order),
                }
            }
            record = write_record(&mut successor, at(now)).unwrap_or(record);
        }
    }
    let mut last = Granter::new(at(begin + 4_000), timing(), Epoch(6), Some(&record));
    last.set_candidates(at(begin + 4_000), [ready("a", None), ready("b", None)]);
    let moved_at = reassigned_at(&mut last, begin + 4_000, &delayed);
    assert!(moved_at <= begin + 4_000 + 8_000, "moved at {moved_at}");
}

/// Guards against assigning keys that still have holders: a granter found that keys had moved
/// without its knowledge, recorded them as free and was killed, and its successor assigned
/// them.
#[test]
fn a_successor_keeps_withholding_keys() {
    let mut granter = granted();
    granter.mark_dirty();
    let record = granter.take_record().expect("a record");
    let mut doubting = Granter::new(at(5_000), timing(), Epoch(2), Some(&record));
    doubting.doubt_record(at(5_000));
    doubting.set_candidates(at(5_000), [ready("a", None), ready("b", None)]);
    for order in doubting.poll(at(5_010)) {
        doubting.handle_reply(at(5_020), order.call, GrantReply::Outdated);
    }
    let record = write_record(&mut doubting, at(5_030)).expect("record with the free keys");
    assert!(
        record
            .slices
            .iter()
            .all(|one| one.state == SliceState::Free)
    );
    let mut successor = Granter::new(at(5_500), timing(), Epoch(3), Some(&record));
    successor.set_candidates(at(5_500), [ready("a", None), ready("b", None)]);
    for now in (5_500..8_300).step_by(50) {
        assert!(successor.poll(at(now)).is_empty(), "at {now}");
        write_record(&mut successor, at(now));
    }
    let mut granted = 0;
    for now in (8_300..10_000).step_by(50) {
        granted += successor.poll(at(now)).len();
        write_record(&mut successor, at(now));
    }
    assert!(granted > 0, "the keys were never assigned");
}

/// The record of a term that doubts the record it took over, and that ends before any of its
/// orders is answered.
fn record_of_a_doubting_term() -> AssignmentRecord {
    let mut granter = granted();
    granter.mark_dirty();
    let record = granter.take_record().expect("a record");
    let mut doubting = Granter::new(at(5_000), timing(), Epoch(2), Some(&record));
    doubting.doubt_record(at(5_000));
    doubting.mark_dirty();
    doubting.set_candidates(at(5_000), [ready("a", None), ready("b", None)]);
    doubting.poll(at(5_010));
    write_record(&mut doubting, at(5_020)).expect("the record")
}

/// Guards against a successor that trusts such a record: it raised the token of a recorded
/// holder that answered "outdated", beside the holder that the lost record had named.
#[test]
fn a_successor_of_a_doubting_term_doubts_its_record() {
    let record = record_of_a_doubting_term();
    let mut successor = Granter::new(at(5_500), timing(), Epoch(3), Some(&record));
    successor.set_candidates(at(5_500), [ready("a", None), ready("b", None)]);
    for now in (5_500..8_800).step_by(10) {
        for order in successor.poll(at(now)) {
            let is_fresh = order.token >= FencingToken::new(Epoch(3), 0);
            assert!(!is_grant(&order) || !is_fresh, "at {now}: {order:?}");
            match is_grant(&order) {
                true => successor.handle_reply(at(now), order.call, GrantReply::Outdated),
                false => answer(&mut successor, at(now), &order),
            }
        }
        write_record(&mut successor, at(now));
    }
}

/// Guards against delayed grants of lost records that outlive the term which began to fence
/// the upstreams.
#[test]
fn a_successor_of_a_doubting_term_fences_all_upstreams() {
    let record = record_of_a_doubting_term();
    let mut successor = Granter::new(at(5_500), timing(), Epoch(3), Some(&record));
    let upstreams = ["a", "b", "c"];
    successor.set_candidates(at(5_500), upstreams.map(|name| ready(name, None)));
    let mut fenced: Vec<(UpstreamId, KeyRange)> = Vec::new();
    for now in (5_500..6_500).step_by(10) {
        for order in successor.poll(at(now)) {
            let is_fresh = order.token >= FencingToken::new(Epoch(3), 0);
            if order.kind == OrderKind::Release && is_fresh {
                fenced.push((order.holder.clone(), order.range));
            }
            answer(&mut successor, at(now), &order);
        }
        write_record(&mut successor, at(now));
    }
    for name in upstreams {
        let is_others = |slice: &&SliceRecord| match &slice.state {
            SliceState::Held { holder, .. } => *holder != id(name),
            SliceState::Leaving { .. } | SliceState::Free => true,
        };
        for slice in record.slices.iter().filter(is_others) {
            let mut releases = fenced.iter();
            let covers = |one: &(UpstreamId, KeyRange)| {
                one.0 == id(name)
                    && one.1.contains(slice.range.first)
                    && one.1.contains(slice.range.last)
            };
            assert!(releases.any(covers), "{name} {}", slice.range);
        }
    }
}
