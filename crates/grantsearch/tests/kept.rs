//! Scopes without violations: connections are reset when a call times out.

mod common;

use beamtray_grantsearch::Faults;
use common::{assert_kept, reset};
use std::time::Duration;

#[test]
fn with_any_moment_of_a_cut() {
    let mut scope = reset().with(Faults {
        cuts: 1,
        ..Faults::default()
    });
    scope.max_time_step = Duration::from_millis(100);
    assert_kept(&scope, 100);
}

#[test]
fn with_two_cuts_and_two_messages_held_up() {
    let faults = Faults {
        cuts: 2,
        delayed_messages: 2,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 13);
}

/// A paused or slow upstream executes orders after its path has recovered.
#[test]
fn with_orders_that_lie_with_their_upstream_and_two_cuts() {
    let faults = Faults {
        cuts: 2,
        deferred_orders: 2,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 14);
}

/// A process that is paused for any time, combined with the other causes of late execution.
#[test]
fn with_an_upstream_that_stands_still_for_any_time() {
    let mut scope = reset().with(Faults {
        cuts: 2,
        upstream_pauses: 1,
        deferred_orders: 1,
        ..Faults::default()
    });
    scope.probe_before_grant = true;
    assert_kept(&scope, 11);
}

#[test]
fn with_a_granter_succeeded_twice() {
    let faults = Faults {
        cuts: 1,
        delayed_messages: 1,
        granter_exits: 2,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 13);
}

/// Released keys are reassigned at once, not after a hold.
#[test]
fn with_upstreams_that_drain() {
    let faults = Faults {
        cuts: 1,
        delayed_messages: 1,
        drains: 2,
        granter_exits: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 10);
}

#[test]
fn with_a_granter_that_stands_still() {
    let faults = Faults {
        cuts: 1,
        granter_exits: 1,
        granter_pauses: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 13);
}

#[test]
fn with_an_upstream_that_has_another_id_after_a_restart() {
    let faults = Faults {
        cuts: 1,
        delayed_messages: 1,
        granter_exits: 1,
        restarts_new_id: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 11);
}

#[test]
fn with_an_upstream_that_restarts_under_its_id() {
    let faults = Faults {
        cuts: 1,
        delayed_messages: 1,
        granter_exits: 1,
        restarts_same_id: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 11);
}

/// Data in flight on a connection is lost when the receiving process restarts.
#[test]
fn with_an_upstream_that_restarts_while_the_granter_stands_still() {
    let mut scope = reset().with(Faults {
        cuts: 1,
        granter_pauses: 1,
        restarts_same_id: 1,
        ..Faults::default()
    });
    scope.transport.reaches_next_process = false;
    assert_kept(&scope, 12);
}

#[test]
fn with_three_upstreams_and_two_ranges() {
    let mut scope = reset().with(Faults {
        cuts: 1,
        delayed_messages: 1,
        granter_exits: 1,
        ..Faults::default()
    });
    scope.upstreams = 3;
    scope.ranges = 2;
    assert_kept(&scope, 12);
}

#[test]
fn with_a_standby() {
    let mut scope = reset().with(Faults {
        cuts: 1,
        delayed_messages: 1,
        granter_exits: 1,
        ..Faults::default()
    });
    scope.standby = true;
    assert_kept(&scope, 11);
}
