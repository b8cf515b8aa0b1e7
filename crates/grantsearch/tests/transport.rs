//! How long a copy of an order may live for the protocol to be safe: the granter waits
//! `transit` after an order times out, and a successor waits `transit` after its own start, because
//! it does not know the orders that its predecessor had in flight.

mod common;

use beamtray_grantsearch::{Faults, Scope, TICK, Transport};
use common::{assert_kept, find, plain_close, reset};
use std::time::Duration;

/// Margin beyond `transit`: the granter acts up to a tick late twice, when keys become
/// free and when they are granted again.
const SLACK: Duration = Duration::from_millis(3 * TICK.as_millis() as u64);

fn with_life(after_timeout: Duration, after_process_exit: Duration, faults: Faults) -> Scope {
    let mut scope = reset().with(faults);
    scope.transport = Transport {
        after_timeout: Some(after_timeout),
        after_process_exit: Some(after_process_exit),
        reaches_next_process: true,
    };
    scope.max_time_step = Duration::from_millis(500);
    scope
}

#[test]
fn copies_must_not_outlive_the_wait_of_a_successor() {
    let faults = Faults {
        cuts: 2,
        granter_exits: 1,
        ..Faults::default()
    };
    let transit = reset().timing.transit;
    assert_kept(&with_life(transit, transit, faults), 17);
    find(&with_life(transit, transit + SLACK, faults), 17);
}

/// Found only if grants that arrive just after a path recovered are counted: a copy that outlives the
/// wait by less than the recovery window is excluded by the rule, yet two upstreams hold the keys.
#[test]
fn copies_must_not_outlive_the_wait_after_an_order_is_given_up_on() {
    let faults = Faults {
        cuts: 2,
        ..Faults::default()
    };
    let transit = reset().timing.transit;
    let scope = |life| Scope {
        count_excluded: true,
        max_time_step: Duration::from_millis(200),
        ..with_life(life, transit, faults)
    };
    assert_kept(&scope(transit), 27);
    find(&scope(transit + SLACK), 27);
}

/// Releasing a lost holder after a partition is not enough without a reset: the release
/// may be delayed for a moment when the path recovers.
#[test]
fn copies_must_not_live_for_ever_though_lost_holders_are_told() {
    let faults = Faults {
        cuts: 1,
        delayed_messages: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), 12);
    find(&plain_close().with(faults), 12);
}

/// An upstream may execute an order seconds after it arrived, 12 s here. A granter that waits for
/// this time, minus its own reply timeout, keeps ownership exclusive.
#[test]
fn orders_that_upstreams_carry_out_late_are_to_be_counted_with() {
    let faults = Faults {
        cuts: 1,
        granter_exits: 1,
        deferred_orders: 2,
        ..Faults::default()
    };
    let mut scope = reset().with(faults);
    let latest = Duration::from_secs(12);
    scope.timing.transit = latest;
    assert_kept(&scope, 14);
    scope.timing.transit = latest - scope.timing.order_timeout - SLACK;
    find(&scope, 14);
}
