//! The store loses its newest records: grants that no record names any more.
//!
//! A rollback ends the term of the granter. An order that its upstream executes later is then
//! unknown to the next one.

mod common;

use beamtray_grantsearch::{Faults, Scope, Step};
use common::{assert_kept, reset, run};

/// An order that is executed late, and a rollback.
const LATE_ORDER: Faults = Faults {
    cuts: 0,
    delayed_messages: 0,
    deferred_orders: 1,
    upstream_pauses: 0,
    restarts_same_id: 0,
    restarts_new_id: 0,
    drains: 0,
    granter_exits: 0,
    granter_pauses: 0,
    store_outages: 0,
    rollbacks: 1,
};

/// A scope in which a rollback may lose all records.
fn losing_all(faults: Faults) -> Scope {
    Scope {
        loses_all_records: true,
        ..reset().with(faults)
    }
}

/// Asserts that the scope has a violation after a rollback if only the fence of all upstreams
/// is disabled, and none with all guards enabled.
fn assert_fences_needed(scope: &Scope, depth: usize) {
    let mut without = *scope;
    without.timing.guards.fences_all_upstreams = false;
    assert_needed(scope, &without, depth);
}

/// The same with only the suspension of renewals disabled.
fn assert_suspension_needed(scope: &Scope, depth: usize) {
    let mut without = *scope;
    without.timing.guards.suspends_renewals = false;
    assert_needed(scope, &without, depth);
}

fn assert_needed(scope: &Scope, without: &Scope, depth: usize) {
    let search = run(without, depth);
    println!("{search}");
    let case = search.found().expect("a counterexample");
    let mut steps = case.steps.iter();
    assert!(
        steps.any(|step| matches!(step, Step::RollBack(_))),
        "{case}"
    );
    assert_kept(scope, depth);
}

#[test]
fn a_term_must_fence_all_upstreams_after_an_older_record() {
    assert_fences_needed(&reset().with(LATE_ORDER), 30);
}

#[test]
fn a_term_must_fence_all_upstreams_after_an_older_record_of_two_ranges() {
    let mut scope = reset().with(LATE_ORDER);
    scope.ranges = 2;
    assert_fences_needed(&scope, 24);
}

#[test]
fn a_term_must_fence_all_upstreams_without_a_record() {
    assert_fences_needed(&losing_all(LATE_ORDER), 16);
}

/// The granter may also end before the rollback or after it.
#[test]
fn a_successor_of_such_a_term_must_fence_all_upstreams() {
    let faults = Faults {
        granter_exits: 1,
        ..LATE_ORDER
    };
    assert_fences_needed(&reset().with(faults), 18);
}

#[test]
fn with_a_second_rollback() {
    let faults = Faults {
        rollbacks: 2,
        ..LATE_ORDER
    };
    assert_kept(&reset().with(faults), 16);
    assert_kept(&losing_all(faults), 12);
}

/// Keys that were released have another holder than the older record.
#[test]
fn with_an_upstream_that_drains() {
    let faults = Faults {
        drains: 1,
        ..LATE_ORDER
    };
    assert_kept(&reset().with(faults), 14);
}

#[test]
fn with_a_standby() {
    let faults = Faults {
        granter_exits: 1,
        ..LATE_ORDER
    };
    let mut scope = reset().with(faults);
    scope.standby = true;
    assert_kept(&scope, 12);
}

/// The first term of the era ends before its first record, and the second one finds none.
#[test]
fn the_second_term_of_an_era_without_a_record_doubts_it_too() {
    let faults = Faults {
        deferred_orders: 0,
        granter_exits: 1,
        ..LATE_ORDER
    };
    assert_kept(&losing_all(faults), 10);
}

/// A holder that could not be reached lost its keys without being told, and the store lost the
/// record of that.
#[test]
fn a_recorded_holder_is_not_renewed_after_others_had_the_keys() {
    let faults = Faults {
        cuts: 1,
        deferred_orders: 0,
        ..LATE_ORDER
    };
    assert_kept(&reset().with(faults), 12);
}

/// A cut in which a holder loses its keys, and a rollback.
const CUT: Faults = Faults {
    cuts: 1,
    deferred_orders: 0,
    ..LATE_ORDER
};

#[test]
fn a_term_must_suspend_renewals_after_an_older_record() {
    assert_suspension_needed(&reset().with(CUT), 14);
}

/// The successor of the term after the rollback finds a record of its own era, with the holders
/// of the older record.
#[test]
fn a_successor_of_such_a_term_must_suspend_renewals() {
    let faults = Faults {
        granter_exits: 1,
        ..CUT
    };
    assert_suspension_needed(&reset().with(faults), 12);
}

#[test]
fn a_second_rollback_after_a_cut() {
    let faults = Faults {
        rollbacks: 2,
        ..CUT
    };
    assert_suspension_needed(&reset().with(faults), 12);
}

/// A standby that is cut off from the granter still renews the later holder.
#[test]
fn a_standby_and_a_cut() {
    let mut scope = reset().with(CUT);
    scope.standby = true;
    assert_suspension_needed(&scope, 15);
}

/// The recorded holder restarts under its name, and knows no token.
#[test]
fn a_recorded_holder_that_restarts() {
    let faults = Faults {
        restarts_same_id: 1,
        ..CUT
    };
    assert_kept(&reset().with(faults), 11);
}

/// The later holder keeps a delayed grant and is cut off, and the holder that the older record
/// names returned the keys to it.
#[test]
fn a_recorded_holder_that_returned_its_keys_and_a_delayed_grant_behind_a_cut() {
    let faults = Faults {
        deferred_orders: 1,
        ..CUT
    };
    assert_kept(&reset().with(faults), 12);
}

/// Another upstream is cut off when the term would give tokens of its own to a holder that lost
/// its keys by expiry.
#[test]
fn a_recorded_holder_is_not_renewed_while_another_upstream_is_cut_off() {
    let faults = Faults { cuts: 2, ..CUT };
    assert_kept(&reset().with(faults), 13);
}
