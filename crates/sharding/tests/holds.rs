//! Duration of grants, and when the keys of an unresponsive holder are free.

mod common;

use beamtray_metastore::Epoch;
use beamtray_sharding::{GrantOrder, GrantReply, Granter, GranterTiming};
use common::{HOLD, answer, at, grant_all, granted, id, ready, slices_of, timing, write_record};
use std::time::Duration;

/// Why a holder does not reply.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outage {
    /// Its machine has failed: data sent on an old connection gets no reply, and no new
    /// connection is established.
    MachineLost,
    /// No connection to it is established.
    Unreachable,
    /// It accepts connections but is paused.
    Paused,
}

/// Runs the granter until "a", which never replies, has no slice; returns the time.
fn lost_at(granter: &mut Granter, begin: u64, outage: Outage) -> u64 {
    let mut pending: Vec<(u64, GrantOrder)> = Vec::new();
    let mut has_connection = outage == Outage::MachineLost;
    for now in (begin..begin + 20_000).step_by(10) {
        pending.retain(|(due, order)| {
            if *due <= now {
                let sent = has_connection || outage == Outage::Paused;
                let reply = if sent {
                    GrantReply::Unanswered
                } else {
                    GrantReply::Undelivered
                };
                granter.handle_reply(at(now), order.call, reply);
                has_connection = false;
            }
            *due > now
        });
        for order in granter.poll(at(now)) {
            if order.holder == id("a") {
                pending.push((now + 500, order));
            } else {
                answer(granter, at(now), &order);
            }
        }
        let record = write_record(granter, at(now));
        if record.is_some_and(|record| slices_of(&record, "a") == 0) {
            return now;
        }
    }
    panic!("a never lost its keys");
}

#[test]
fn keys_of_an_unresponsive_holder_are_free_soon_after_its_grants_expire() {
    let mut granter = granted();
    let lost = lost_at(&mut granter, 2_010, Outage::MachineLost);
    // The first renewal is due by 2,750 and given up on by 3,250; it may be accepted within
    // the transit time after that.
    assert!(lost >= 2_000 + 3_060, "lost at {lost}");
    assert!(lost <= 3_250 + 300 + 3_060 + 150, "lost at {lost}");
}

#[test]
fn an_order_that_was_never_sent_extends_nothing() {
    let mut granter = granted();
    let lost = lost_at(&mut granter, 2_010, Outage::Unreachable);
    assert!(lost >= 2_000 + 3_060, "lost at {lost}");
    assert!(lost <= 2_000 + 3_060 + 250, "lost at {lost}");
}

/// Only the slice whose renewal is retried waits longer.
#[test]
fn most_keys_of_a_paused_holder_are_free_as_soon() {
    let mut granter = granted();
    let before = granter.slice_count() / 2;
    let mut left = before;
    for now in (2_010..6_500).step_by(10) {
        for order in granter.poll(at(now)) {
            if order.holder == id("a") {
                granter.handle_reply(at(now), order.call, GrantReply::Unanswered);
            } else {
                answer(&mut granter, at(now), &order);
            }
        }
        if let Some(record) = write_record(&mut granter, at(now)) {
            left = slices_of(&record, "a");
        }
    }
    assert!(left <= 1, "{left} of {before} left");
}

#[test]
fn a_holder_with_an_unanswered_grant_gets_no_further_grants() {
    let mut granter = granted();
    let first = granter.poll(at(2_700));
    assert!(first.iter().any(|order| order.holder == id("a")));
    let later = granter.poll(at(2_850));
    assert!(later.is_empty(), "{later:?}");
}

#[test]
fn a_holder_that_answers_requests_gets_grants_though_one_is_lost() {
    let mut granter = granted();
    granter.poll(at(2_700));
    granter.set_candidates(
        at(2_840),
        [ready("a", Some(at(2_830))), ready("b", Some(at(2_830)))],
    );
    assert!(!granter.poll(at(2_850)).is_empty());
}

#[test]
fn a_successor_counts_a_full_grant_for_an_unresponsive_holder() {
    let mut first = granted();
    first.mark_dirty();
    let record = first.take_record().expect("a record");
    let mut second = Granter::new(at(5_000), timing(), Epoch(2), Some(&record));
    second.set_candidates(at(5_000), [ready("a", None), ready("b", None)]);
    let lost = lost_at(&mut second, 5_000, Outage::Unreachable);
    assert!(lost >= 5_000 + 3_060 + 300, "lost at {lost}");
    assert!(lost <= 5_000 + 3_060 + 300 + 250, "lost at {lost}");
}

/// Guards against two owners: a renewal that is shorter than the grant in force leaves the
/// holder with the longer one.
#[test]
fn a_reply_never_shortens_a_grant() {
    let mut first = granted();
    first.mark_dirty();
    let record = first.take_record().expect("a record");
    let mut second = Granter::new(at(5_000), timing(), Epoch(2), Some(&record));
    second.set_candidates(at(5_000), [ready("a", None), ready("b", None)]);
    grant_all(&mut second, at(5_010));
    let lost = lost_at(&mut second, 5_020, Outage::Unreachable);
    assert!(lost >= 5_000 + 3_060 + 300, "lost at {lost}");
}

/// Guards against keys that never get an owner again: the unresponsiveness for which holders had
/// lost keys was still held against them when they got keys again.
#[test]
fn upstreams_get_keys_again_after_all_were_unresponsive() {
    let mut granter = granted();
    let mut owned = 0;
    for now in (2_010..20_000).step_by(10) {
        for order in granter.poll(at(now)) {
            if now < 9_000 {
                granter.handle_reply(at(now), order.call, GrantReply::Undelivered);
            } else {
                answer(&mut granter, at(now), &order);
            }
        }
        write_record(&mut granter, at(now));
        if now >= 9_000 && owned == 0 && granter.held_count(at(now)) == granter.slice_count() {
            owned = now;
        }
    }
    assert!(owned > 0 && owned < 11_000, "owned at {owned}");
}

/// Guards against a granter of 400 slices that spends its processor time on renewals and has
/// none left to reassign the keys of unreachable upstreams.
#[test]
fn many_slices_are_renewed_less_often_and_granted_longer() {
    let timing = GranterTiming {
        max_renewal: Duration::from_millis(2_000),
        ..timing()
    };
    let few = timing.pace(100);
    assert_eq!((few.hold, few.renewal), (HOLD, timing.renewal));
    let many = timing.pace(300);
    assert_eq!(many.renewal, Duration::from_millis(1_500));
    assert_eq!(many.hold - many.renewal, few.hold - few.renewal);
    assert_eq!(timing.pace(100_000).renewal, timing.max_renewal);
}
