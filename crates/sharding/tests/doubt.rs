//! Keys whose holder may have left a grant lying.

mod common;

use beamtray_catalog::{StartTimestamp, UpstreamId};
use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, GrantOrder, GrantReply, Granter, KeyRange, OrderKind, SliceState,
    Standing,
};
use common::*;

/// From the moment in which a grant is given up on to that in which it has run out: the
/// lifetime of orders and a hold by a clock that is 2% slow.
const DOUBT: u64 = 12_000 + 3_060;

fn is_grant(order: &GrantOrder) -> bool {
    matches!(order.kind, OrderKind::Grant { .. })
}

/// Plays on: "a" leaves its first grant lying and can't be reached from then on. The keys of
/// that grant, and the record when it was given up on.
fn left_lying(granter: &mut Granter) -> (GrantOrder, u64, AssignmentRecord) {
    for now in (2_010..4_000).step_by(10) {
        let mut lying = None;
        for order in granter.poll(at(now)) {
            if order.holder != id("a") {
                answer(granter, at(now), &order);
            } else if lying.is_none() {
                lying = Some(order);
            } else {
                granter.handle(at(now), order.call, GrantReply::Undelivered);
            }
        }
        if let Some(lying) = lying {
            let given_up = now + 500;
            granter.handle(at(given_up), lying.call, GrantReply::InDoubt);
            let record = write_record(granter, at(given_up)).expect("the doubt is told");
            return (lying, given_up, record);
        }
    }
    panic!("a was asked nothing");
}

/// When the keys of an order have another holder, if "a" answers nothing.
fn goes_on_at(granter: &mut Granter, begin: u64, lying: &GrantOrder) -> u64 {
    for now in (begin..begin + 40_000).step_by(10) {
        for order in granter.poll(at(now)) {
            match order.holder == id("a") {
                true => granter.handle(at(now), order.call, GrantReply::Undelivered),
                false => answer(granter, at(now), &order),
            }
        }
        let Some(record) = write_record(granter, at(now)) else {
            continue;
        };
        let slice = record.slice(lying.range.first).expect("a slice");
        if matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id("b")) {
            return now;
        }
    }
    panic!("the keys never went on");
}

/// It stood still for 6.5 s, woke, and took the grant while another was at work on the keys.
#[test]
fn keys_of_a_grant_that_may_lie_wait_until_it_has_run_out() {
    let mut granter = granted();
    let (lying, given_up, _) = left_lying(&mut granter);
    let went_on = goes_on_at(&mut granter, given_up, &lying);
    assert!(went_on >= given_up + DOUBT, "went on at {went_on}");
    assert!(went_on <= given_up + DOUBT + 200, "went on at {went_on}");
}

#[test]
fn the_other_keys_of_its_holder_go_on_as_soon_as_any() {
    let mut granter = granted();
    let (lying, given_up, _) = left_lying(&mut granter);
    let mut left = usize::MAX;
    for now in (given_up..7_000).step_by(10) {
        for order in granter.poll(at(now)) {
            match order.holder == id("a") {
                true => granter.handle(at(now), order.call, GrantReply::Undelivered),
                false => answer(&mut granter, at(now), &order),
            }
        }
        if let Some(record) = write_record(&mut granter, at(now)) {
            left = slices_of(&record, "a");
        }
    }
    assert_eq!(left, 1, "{lying:?}");
}

/// Plays on until 6 s after the give-up, when "a" can be reached again; then for so long. Who is
/// granted the keys of the lying grant first, and when.
fn goes_back(
    lying: &GrantOrder,
    granter: &mut Granter,
    given_up: u64,
    last: Option<Candidate>,
) -> (UpstreamId, u64) {
    let begin = given_up + 6_000;
    for now in (given_up..begin).step_by(10) {
        for order in granter.poll(at(now)) {
            match order.holder == id("a") {
                true => granter.handle(at(now), order.call, GrantReply::Undelivered),
                false => answer(granter, at(now), &order),
            }
        }
        write_record(granter, at(now));
    }
    granter.set_candidates(at(begin), last.into_iter().chain([ready("b", None)]));
    for now in (begin..begin + 6_000).step_by(10) {
        for order in granter.poll(at(now)) {
            if is_grant(&order) && order.range == lying.range {
                return (order.holder, now - begin);
            }
            answer(granter, at(now), &order);
        }
        write_record(granter, at(now));
    }
    panic!("nobody got the keys");
}

#[test]
fn they_go_on_at_once_when_an_upstream_that_leaves_gives_them_back() {
    let mut granter = granted();
    let (lying, given_up, _) = left_lying(&mut granter);
    let leaver = Candidate {
        standing: Standing::Draining,
        ..ready("a", None)
    };
    let (holder, after) = goes_back(&lying, &mut granter, given_up, Some(leaver));
    assert_eq!(holder, id("b"));
    assert!(after <= 400, "after {after} ms");
}

/// A restart of it may be registered again in a moment; its entry had gone with that of the
/// process before, and the next restart took the grant from who had got the keys meanwhile.
#[test]
fn they_wait_for_an_upstream_that_was_registered_a_moment_ago() {
    let mut granter = granted();
    let (lying, given_up, _) = left_lying(&mut granter);
    let (holder, after) = goes_back(&lying, &mut granter, given_up, None);
    assert_eq!(holder, id("b"));
    assert!((4_000..=4_400).contains(&after), "after {after} ms");
}

/// The granter ended; its successor read the doubt in the record.
#[test]
fn a_successor_waits_for_the_grant_too() {
    let mut granter = granted();
    let (lying, given_up, record) = left_lying(&mut granter);
    let doubted: Vec<KeyRange> = record.doubted.iter().map(|keys| keys.range).collect();
    assert_eq!(doubted, [lying.range]);
    let begin = given_up + 1_000;
    let mut successor = Granter::new(at(begin), timing(), Epoch(2), Some(&record));
    successor.set_candidates(at(begin), [ready("a", None), ready("b", None)]);
    let went_on = goes_on_at(&mut successor, begin, &lying);
    assert!(went_on >= given_up + DOUBT, "went on at {went_on}");
}

fn born(birth: u64) -> Candidate {
    Candidate {
        id: UpstreamId::with_start("a", StartTimestamp(birth)),
        ..ready("", None)
    }
}

/// It ended with the grant, and was up again twice: the second restart took the grant when its
/// keys had gone from the first one to another upstream.
#[test]
fn keys_go_back_to_the_restart_of_an_upstream_that_left_a_grant_lying() {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [born(1), ready("b", None)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    give_all(&mut granter, at(2_000));
    let mut lying = None;
    for now in (2_010..4_000).step_by(10) {
        for order in granter.poll(at(now)) {
            if order.holder == born(1).id && lying.is_none() {
                granter.handle(at(now), order.call, GrantReply::InDoubt);
                lying = Some(order);
            } else {
                answer(&mut granter, at(now), &order);
            }
        }
        write_record(&mut granter, at(now));
    }
    let lying = lying.expect("a grant");
    granter.set_candidates(at(4_000), [born(2), ready("b", None)]);
    let mut holders = Vec::new();
    for now in (4_000..4_400).step_by(10) {
        for order in granter.poll(at(now)) {
            if is_grant(&order) && order.range == lying.range {
                assert!(order.token > lying.token);
                holders.push(order.holder.clone());
            }
            answer(&mut granter, at(now), &order);
        }
        write_record(&mut granter, at(now));
    }
    assert_eq!(holders, [born(2).id]);
}

#[test]
fn doubt_ends_in_the_record_too() {
    let mut granter = granted();
    let (_, given_up, _) = left_lying(&mut granter);
    let mut doubted = usize::MAX;
    for now in (given_up..given_up + DOUBT + 200).step_by(50) {
        for order in granter.poll(at(now)) {
            answer(&mut granter, at(now), &order);
        }
        if let Some(record) = write_record(&mut granter, at(now)) {
            doubted = record.doubted.len();
        }
    }
    assert_eq!(doubted, 0);
}

/// A grant goes to a process only that has just answered: what lies in the buffers of one
/// that stands still is a question.
#[test]
fn a_question_is_about_a_key_of_another_and_outdates_nothing() {
    let mut granter = granted();
    let grants = granter.poll(at(2_700)).into_iter().filter(is_grant);
    let grants: Vec<GrantOrder> = grants.collect();
    assert!(!grants.is_empty());
    granter.not_written();
    let record = granter.record().expect("a record");
    for grant in grants {
        let key = granter.key_of_others(&grant.holder).expect("there are two");
        let slice = record.slice(key).expect("a slice");
        let holds = |state: &SliceState| matches!(state, SliceState::Held { holder, .. } if *holder == grant.holder);
        assert!(!holds(&slice.state));
        let question = grant.question(key);
        assert_eq!(question.kind, OrderKind::Release);
        assert_eq!(question.range.len(), 1);
        assert!(question.token < grant.token);
    }
}

#[test]
fn who_holds_all_keys_is_asked_nothing() {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", None)]);
    granter.poll(at(1_500));
    write_record(&mut granter, at(1_510)).expect("the keys were divided");
    give_all(&mut granter, at(2_000));
    assert_eq!(granter.key_of_others(&id("a")), None);
}

/// Each successor began the wait anew, and keys of an upstream that had ended were without an
/// owner for 25 s.
#[test]
fn successors_do_not_begin_the_wait_anew() {
    let mut granter = granted();
    let (lying, given_up, mut record) = left_lying(&mut granter);
    let mut begin = given_up;
    for term in 2..6 {
        begin += 4_000;
        let mut successor = Granter::new(at(begin), timing(), Epoch(term), Some(&record));
        successor.set_candidates(at(begin), [ready("a", None), ready("b", None)]);
        successor.not_written();
        for now in (begin..begin + 3_000).step_by(10) {
            for order in successor.poll(at(now)) {
                match order.holder == id("a") {
                    true => successor.handle(at(now), order.call, GrantReply::Undelivered),
                    false => answer(&mut successor, at(now), &order),
                }
            }
            record = write_record(&mut successor, at(now)).unwrap_or(record);
        }
    }
    let mut last = Granter::new(at(begin + 4_000), timing(), Epoch(6), Some(&record));
    last.set_candidates(at(begin + 4_000), [ready("a", None), ready("b", None)]);
    let went_on = goes_on_at(&mut last, begin + 4_000, &lying);
    assert!(went_on <= begin + 4_000 + 8_000, "went on at {went_on}");
}

/// A granter found that keys had gone on unseen, wrote them down as free and was killed; its
/// successor gave them away while their holders had them.
#[test]
fn keys_that_go_to_nobody_go_to_nobody_at_a_successor() {
    let mut granter = granted();
    granter.not_written();
    let record = granter.record().expect("a record");
    let mut doubting = Granter::new(at(5_000), timing(), Epoch(2), Some(&record));
    doubting.doubt_record(at(5_000));
    doubting.set_candidates(at(5_000), [ready("a", None), ready("b", None)]);
    for order in doubting.poll(at(5_010)) {
        doubting.handle(at(5_020), order.call, GrantReply::Outdated);
    }
    let record = write_record(&mut doubting, at(5_030)).expect("the keys are nobody's");
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
    assert!(granted > 0, "they never go to anybody");
}
