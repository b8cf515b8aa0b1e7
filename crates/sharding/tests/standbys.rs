//! How a granter accounts for its standbys.

mod common;

use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, GrantReply, Granter, RecordNumber, STANDBY_AUTHORIZATION, SliceState,
    StandbyId, StandbyStatus,
};
use common::{answer, at, id, ready, slices_of, timing, write_record};
use std::time::Duration;

const STANDBY: StandbyId = StandbyId {
    address: std::net::SocketAddr::V4(std::net::SocketAddrV4::new(
        std::net::Ipv4Addr::new(10, 0, 0, 2),
        7_000,
    )),
    run: 5,
};

/// How a standby behaves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// It reports each record.
    Reports,
    /// It reports nothing after 2,000 ms.
    StopsReporting,
    /// It stops reporting, and its process is found to have terminated 1 s later.
    Ends,
    /// It reports each record, and that it extended grants at 4,000 ms.
    Extends,
}

/// When the slices of "a", which does not reply after 2,000 ms, are free.
fn lost_at(behavior: Behavior) -> u64 {
    let mut granter = Granter::new(at(0), timing(), Epoch(1), None);
    granter.set_candidates(at(0), [ready("a", None), ready("b", None)]);
    let mut newest = None;
    for now in (0..25_000).step_by(10) {
        let has_terminated = behavior == Behavior::Ends && now >= 3_000;
        let wanted: &[StandbyId] = if has_terminated { &[] } else { &[STANDBY] };
        granter.set_standbys(at(now), wanted);
        for standby in granter.standbys_to_authorize(at(now)) {
            granter.standby_authorized(at(now), &standby);
        }
        for order in granter.poll(at(now)) {
            if order.holder == id("a") && now > 2_000 {
                granter.handle_reply(at(now), order.call, GrantReply::Undelivered);
            } else {
                answer(&mut granter, at(now), &order);
            }
        }
        if let Some(record) = write_record(&mut granter, at(now)) {
            newest = Some(record.number());
            if now > 2_000 && slices_of(&record, "a") == 0 {
                return now;
            }
        }
        let silent = matches!(behavior, Behavior::StopsReporting | Behavior::Ends);
        if now <= 2_000 || !silent {
            let prolonged = (behavior == Behavior::Extends && now >= 4_000)
                .then(|| Duration::from_millis(now - 4_000));
            let known_record: Option<RecordNumber> = newest;
            granter.standby_reported(
                at(now),
                &STANDBY,
                StandbyStatus {
                    known_record,
                    prolonged,
                },
            );
        }
        if has_terminated {
            granter.standby_terminated(at(now), &STANDBY);
        }
    }
    panic!("a never lost its keys");
}

#[test]
fn a_standby_that_knows_the_record_delays_nothing() {
    let lost = lost_at(Behavior::Reports);
    assert!(lost <= 2_000 + 3_060 + 1_000, "lost at {lost}");
}

#[test]
fn an_unresponsive_standby_is_waited_for_until_its_authorization_expires() {
    let lost = lost_at(Behavior::StopsReporting);
    let authorization = STANDBY_AUTHORIZATION.as_millis() as u64;
    // The last authorization is sent between 2,000 ms and the report timeout.
    assert!(lost >= 2_000 + authorization + 3_060, "lost at {lost}");
    assert!(
        lost <= 3_200 + authorization + authorization / 50 + 4_000,
        "lost at {lost}"
    );
}

#[test]
fn an_ended_standby_is_waited_for_one_grant_duration() {
    let lost = lost_at(Behavior::Ends);
    assert!(lost >= 3_000 + 3_060, "lost at {lost}");
    assert!(lost <= 3_000 + 800 + 3_060 + 100, "lost at {lost}");
}

#[test]
fn grants_extended_by_a_standby_count() {
    let lost = lost_at(Behavior::Extends);
    assert!(lost >= 4_000 + 3_060, "lost at {lost}");
    assert!(lost <= 4_000 + 800 + 3_060 + 100, "lost at {lost}");
}

#[test]
fn a_successor_waits_for_the_standbys_of_its_predecessor() {
    let mut first = Granter::new(at(0), timing(), Epoch(1), None);
    first.set_candidates(at(0), [ready("a", None), ready("b", None)]);
    first.set_standbys(at(1_500), &[STANDBY]);
    first.poll(at(1_500));
    let record = write_record(&mut first, at(1_510)).expect("the keys are divided");
    assert_eq!(record.standbys, [STANDBY]);
    let mut second = Granter::new(at(5_000), timing(), Epoch(2), Some(&record));
    second.set_candidates(at(5_000), [ready("b", None)]);
    let authorization = STANDBY_AUTHORIZATION.as_millis() as u64;
    let mut freed = 0;
    for now in (5_000..25_000).step_by(10) {
        for order in second.poll(at(now)) {
            if order.holder == id("a") {
                second.handle_reply(at(now), order.call, GrantReply::Undelivered);
            } else {
                answer(&mut second, at(now), &order);
            }
        }
        let record = write_record(&mut second, at(now));
        let is_free = |record: AssignmentRecord| {
            record.slices.iter().all(
                |slice| matches!(&slice.state, SliceState::Held { holder, .. } if *holder == id("b")),
            )
        };
        if freed == 0 && record.is_some_and(is_free) {
            freed = now;
        }
    }
    assert!(freed >= 5_000 + authorization + 3_060, "free at {freed}");
}
