//! Stale grants: a copy of an order outlives its call because connections are closed without
//! a reset or stay open, or because the upstream executes it late.

mod common;

use beamtray_grantsearch::Faults;
use common::{assert_kept, plain_close, reset};

/// Five steps more than the shortest history that violated an invariant.
const DEPTH: usize = 14;

#[test]
fn an_order_written_into_a_cut_is_not_taken_after_others_had_the_keys() {
    let faults = Faults {
        cuts: 1,
        ..Faults::default()
    };
    assert_kept(&plain_close().with(faults), DEPTH);
}

#[test]
fn nor_is_one_of_a_granter_that_ended() {
    let faults = Faults {
        cuts: 1,
        granter_exits: 1,
        ..Faults::default()
    };
    assert_kept(&plain_close().with(faults), DEPTH);
}

/// A paused granter closes no connections, whether with a reset or without.
#[test]
fn nor_is_one_of_a_granter_that_stands_still() {
    let faults = Faults {
        cuts: 1,
        granter_pauses: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), DEPTH);
}

/// The upstream itself keeps the order, so no reset discards it, and the upstream is partitioned
/// before it can learn that it lost the keys.
#[test]
fn nor_is_one_that_its_upstream_carries_out_late() {
    let faults = Faults {
        cuts: 1,
        deferred_orders: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), DEPTH);
}
