//! Delayed grants of a term whose records the store lost, with fixed times.
//!
//! Guards against upstreams that execute such grants after a term without a record has granted
//! the keys to others.

mod common;

use beamtray_routersim::{CutFrom, Fault, FaultKind};
use common::{NO_RECORD_MS, goes_back, orders_late};

fn broken(faults: &[Fault]) -> Vec<String> {
    common::broken(|_| faults.to_vec())
}

/// Guards against standby grants, sent while the store is down, that outlive their record.
#[test]
fn delayed_grants_of_a_standby_are_not_accepted_after_keys_of_a_lost_record_moved() {
    let broken = broken(&[
        Fault::new(7_300, 1_800, FaultKind::StoreCut { node: None }),
        goes_back(8_000, 4_000, NO_RECORD_MS),
        orders_late(10_000, 2_000),
        Fault::new(12_100, 1_500, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against delayed standby grants that later ones do not outdate, because all of them have
/// one token.
#[test]
fn nor_are_those_that_were_followed_by_answered_ones() {
    let broken = broken(&[
        Fault::new(7_300, 1_800, FaultKind::StoreCut { node: None }),
        goes_back(8_000, 4_000, NO_RECORD_MS),
        orders_late(10_200, 100),
        Fault::new(12_100, 1_500, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against renewals that outlive their record when all nodes are killed before the
/// renewals are given up on.
#[test]
fn delayed_grants_of_a_granter_are_not_accepted_after_keys_of_a_lost_record_moved() {
    let broken = broken(&[
        orders_late(8_000, 400),
        goes_back(8_000, 1_000, NO_RECORD_MS),
        Fault::new(8_400, 1_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against the same when all nodes are killed after the renewals were given up on.
#[test]
fn nor_are_delayed_grants_that_the_granter_gave_up_on() {
    let broken = broken(&[
        orders_late(8_000, 400),
        goes_back(8_000, 2_000, NO_RECORD_MS),
        Fault::new(9_200, 1_500, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against the same with an older record, in which other upstreams hold some keys.
#[test]
fn nor_are_delayed_grants_of_keys_that_an_older_record_gives_to_others() {
    let broken = broken(&[
        Fault::new(6_500, 4_000, FaultKind::HotKey),
        orders_late(11_000, 400),
        goes_back(11_000, 1_000, 6_400),
        Fault::new(11_400, 1_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a successor that forgets the records that its node knows.
#[test]
fn nor_are_they_if_the_granter_alone_is_killed() {
    let broken = broken(&[
        orders_late(8_000, 400),
        goes_back(8_000, 1_000, NO_RECORD_MS),
        Fault::new(8_400, 1_000, FaultKind::NodeKill { node: None }),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a successor that grants to others what the newest record assigns.
#[test]
fn nor_are_they_without_a_rollback() {
    let broken = broken(&[
        orders_late(8_000, 400),
        Fault::new(8_400, 1_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a successor that moves the keys of an unreachable upstream whose delayed
/// grants no record names.
#[test]
fn nor_are_they_without_a_rollback_at_an_unreachable_upstream() {
    let unreachable = FaultKind::UpstreamUnreachable {
        upstream: 0,
        from: CutFrom::Everything,
    };
    let broken = broken(&[
        orders_late(8_000, 400),
        Fault::new(8_400, 1_000, FaultKind::KillAll),
        Fault::new(8_400, 14_000, unreachable),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a term that grants keys at once because the store knows no earlier term,
/// although it is not in its first era.
#[test]
fn keys_have_one_owner_after_a_rollback_to_before_the_first_term() {
    let broken = broken(&[
        goes_back(8_000, 1_000, 0),
        Fault::new(8_400, 1_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The same with a store that knows an earlier term, but no record of it.
#[test]
fn keys_have_one_owner_after_a_rollback_to_before_the_first_record() {
    let broken = broken(&[
        goes_back(8_000, 1_000, NO_RECORD_MS),
        Fault::new(8_400, 1_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a second term that finds no record and trusts that, because the first term of
/// the era ended before it had written one.
#[test]
fn keys_have_one_owner_if_the_first_term_of_an_era_ends_without_a_record() {
    let broken = broken(&[
        goes_back(8_000, 1_000, NO_RECORD_MS),
        Fault::new(8_400, 1_000, FaultKind::KillAll),
        Fault::new(9_150, 1_000, FaultKind::KillAll),
    ]);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
