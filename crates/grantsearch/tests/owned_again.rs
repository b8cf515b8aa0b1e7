//! Keys have an owner again in time, from each state that faults lead to.

mod common;

use beamtray_grantsearch::{Faults, Promise, Scope};
use common::{assert_kept, find, reset};
use std::time::Duration;

fn owned_within(millis: u64, faults: Faults) -> Scope {
    Scope {
        owned_within: Some(Duration::from_millis(millis)),
        ..reset().with(faults)
    }
}

/// A holder is missed, its grants run out, another one gets the keys.
#[test]
fn keys_of_a_holder_that_is_cut_off_go_to_another() {
    let faults = Faults {
        cuts: 1,
        messages: 1,
        ..Faults::default()
    };
    assert_kept(&owned_within(5_000, faults), 9);
}

/// With a granter that stands still, whose place must run out first (1.5 s), and a successor
/// that waits for the grants of the one before (3.4 s). The other 1.6 s: a successor that
/// finds the keys leaving knows nothing of the holder's silence, so it gives them to the same
/// one again and misses it once more.
#[test]
fn keys_go_to_another_also_by_a_successor() {
    let faults = Faults {
        cuts: 1,
        ends: 1,
        freezes: 1,
        ..Faults::default()
    };
    assert_kept(&owned_within(6_600, faults), 9);
}

#[test]
fn the_time_without_an_owner_is_checked() {
    let faults = Faults {
        cuts: 1,
        ..Faults::default()
    };
    let case = find(&owned_within(1_500, faults), 4);
    assert_eq!(case.broken.promise, Promise::OwnedAgain);
}
