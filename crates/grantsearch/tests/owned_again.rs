//! Keys have an owner again in time from every state that faults can lead to.

mod common;

use beamtray_grantsearch::{Faults, Invariant, Scope};
use common::{assert_kept, find, reset};
use std::time::Duration;

fn owned_within(millis: u64, faults: Faults) -> Scope {
    Scope {
        owned_within: Some(Duration::from_millis(millis)),
        ..reset().with(faults)
    }
}

/// The last renewal is sent into the partition (0.75 s after the one before) and times out
/// (0.5 s); it may have been accepted as late as 0.3 s after that, for 3.06 s.
#[test]
fn keys_of_a_holder_that_is_cut_off_go_to_another() {
    let faults = Faults {
        cuts: 1,
        delayed_messages: 1,
        ..Faults::default()
    };
    assert_kept(&owned_within(4_700, faults), 9);
}

/// The leadership lease of a paused granter expires (1.5 s), and its successor waits for
/// the grants of its predecessor (3.36 s). Knowing which holders owe a reply saves 1.6 s: it
/// does not return keys that are being moved to the same holder, only to time out again.
#[test]
fn keys_go_to_another_also_by_a_successor() {
    let faults = Faults {
        cuts: 1,
        granter_exits: 1,
        granter_pauses: 1,
        ..Faults::default()
    };
    assert_kept(&owned_within(4_950, faults), 9);
}

/// A standby that is partitioned from the granter, but maybe not from the holder, may renew
/// the hold until the granter's last authorization expires (11.2 s).
#[test]
fn keys_wait_longer_for_a_standby_that_is_cut_off() {
    let faults = Faults {
        cuts: 1,
        granter_exits: 1,
        ..Faults::default()
    };
    let mut scope = owned_within(15_600, faults);
    scope.standby = true;
    assert_kept(&scope, 7);
}

#[test]
fn an_upstream_that_drains_and_one_that_is_cut_off() {
    let faults = Faults {
        cuts: 1,
        drains: 1,
        delayed_messages: 1,
        ..Faults::default()
    };
    assert_kept(&owned_within(4_950, faults), 9);
}

#[test]
fn the_time_without_an_owner_is_checked() {
    let faults = Faults {
        cuts: 1,
        ..Faults::default()
    };
    let case = find(&owned_within(1_500, faults), 4);
    assert_eq!(case.violation.invariant, Invariant::OwnedAgain);
}
