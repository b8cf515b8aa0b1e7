//! Grants that were in flight when their granter ended, with all processes or alone.

mod common;

use beamtray_grantsearch::{Faults, Scope};
use common::{assert_kept, reset, run};

/// A holder keeps a grant to execute it later and cannot be reached by the successor.
const IN_FLIGHT: Faults = Faults {
    cuts: 1,
    delayed_messages: 0,
    deferred_orders: 1,
    upstream_pauses: 0,
    restarts_same_id: 0,
    restarts_new_id: 0,
    drains: 0,
    granter_exits: 1,
    granter_pauses: 0,
    store_outages: 0,
    rollbacks: 0,
};

/// A scope in which the exit of a granter is the loss of all processes.
fn losing_all_processes(faults: Faults) -> Scope {
    Scope {
        loses_all_processes: true,
        ..reset().with(faults)
    }
}

/// Asserts that the scope has a violation if only the wait for grants in flight is disabled,
/// and none with all guards enabled.
fn assert_wait_needed(scope: &Scope, depth: usize) {
    let mut without = *scope;
    without.timing.guards.assumes_grants_in_flight = false;
    let search = run(&without, depth);
    println!("{search}");
    assert!(search.found().is_some(), "{search}");
    assert_kept(scope, depth);
}

#[test]
fn a_term_must_assume_grants_in_flight_after_the_loss_of_all_processes() {
    assert_wait_needed(&losing_all_processes(IN_FLIGHT), 14);
}

/// The second loss may come before the first successor has written a record, and after.
#[test]
fn a_term_must_assume_them_after_a_second_loss() {
    let faults = Faults {
        granter_exits: 2,
        ..IN_FLIGHT
    };
    assert_wait_needed(&losing_all_processes(faults), 10);
}

#[test]
fn with_an_upstream_that_drains() {
    let faults = Faults {
        drains: 1,
        ..IN_FLIGHT
    };
    assert_wait_needed(&losing_all_processes(faults), 10);
}

#[test]
fn with_a_standby() {
    let mut scope = losing_all_processes(IN_FLIGHT);
    scope.standby = true;
    assert_kept(&scope, 11);
}

#[test]
fn with_an_upstream_that_restarts() {
    let faults = Faults {
        restarts_same_id: 1,
        ..IN_FLIGHT
    };
    assert_kept(&losing_all_processes(faults), 9);
}

#[test]
fn with_a_rollback() {
    let faults = Faults {
        rollbacks: 1,
        ..IN_FLIGHT
    };
    assert_kept(&losing_all_processes(faults), 9);
}

/// Other processes live on and have observed the term, but not the grant.
#[test]
fn a_grant_in_flight_is_refused_after_the_loss_of_its_granter_alone() {
    assert_kept(&reset().with(IN_FLIGHT), 12);
}

/// The holder executes a grant of the successor for one range and is cut off before it is sent
/// the grant for the other, of which it keeps an earlier grant.
#[test]
fn a_holder_that_is_cut_off_between_two_grants_of_a_successor_refuses_earlier_ones() {
    let mut scope = losing_all_processes(IN_FLIGHT);
    scope.upstreams = 3;
    scope.ranges = 2;
    assert_kept(&scope, 9);
}
