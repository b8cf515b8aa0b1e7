//! Old grants: a copy of an order that outlives the call, since connections are closed in the
//! ordinary way, or stay open, or since its upstream carries it out late.

mod common;

use beamtray_grantsearch::Faults;
use common::{assert_kept, plain_close, reset};

/// Five steps more than the shortest history that broke it.
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

/// Its connections are not closed at all while it stands still, however that is done later.
#[test]
fn nor_is_one_of_a_granter_that_stands_still() {
    let faults = Faults {
        cuts: 1,
        granter_pauses: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), DEPTH);
}

/// The upstream itself keeps the order, so that no reset takes it back; and it is cut off
/// before it can hear that it lost the keys.
#[test]
fn nor_is_one_that_its_upstream_carries_out_late() {
    let faults = Faults {
        cuts: 1,
        deferred_orders: 1,
        ..Faults::default()
    };
    assert_kept(&reset().with(faults), DEPTH);
}
