//! The checkers of keys object to bad histories, and to these alone.

use beamtray_catalog::UpstreamId;
use beamtray_routersim::{Checkers, Holder, OtherHolder, Promise, Taking, Violation};
use beamtray_sharding::{KeyRange, ShardKey};
use beamtray_types::Time;
use std::time::Duration;

const LOWER: KeyRange = KeyRange {
    first: ShardKey(0),
    last: ShardKey(999),
};
const WIDER: KeyRange = KeyRange {
    first: ShardKey(0),
    last: ShardKey(1_999),
};
const UPPER: KeyRange = KeyRange {
    first: ShardKey(1_000),
    last: ShardKey(1_999),
};
/// After all troubles; nothing is asked then, so that recovery is no matter here.
const END: Time = Time(10_000_000);

fn upstream(index: usize) -> UpstreamId {
    UpstreamId::from(format!("u{index}"))
}

fn holder(index: usize, incarnation: u64) -> Holder {
    Holder {
        index,
        incarnation,
        id: upstream(index),
    }
}

fn taking(range: KeyRange, token: u64) -> Taking {
    Taking {
        range,
        token,
        is_counted: true,
    }
}

fn promises(checkers: Checkers) -> Vec<Promise> {
    let violations = checkers.finish(END).into_iter();
    violations.map(|one: Violation| one.promise).collect()
}

#[test]
fn a_token_must_lie_above_those_of_others() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(0, 1), taking(LOWER, 5));
    checkers.takes(Time(2), &holder(1, 1), taking(LOWER, 9));
    checkers.takes(Time(3), &holder(0, 1), taking(LOWER, 5));
    assert_eq!(promises(checkers), [Promise::RisingTokens]);
}

#[test]
fn an_equal_token_is_no_higher_one() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(0, 1), taking(LOWER, 5));
    checkers.takes(Time(2), &holder(1, 1), taking(LOWER, 5));
    assert_eq!(promises(checkers), [Promise::RisingTokens]);
}

#[test]
fn a_part_of_the_keys_is_enough() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(0, 1), taking(UPPER, 7));
    checkers.takes(Time(2), &holder(1, 1), taking(WIDER, 6));
    assert_eq!(promises(checkers), [Promise::RisingTokens]);
}

#[test]
fn another_name_at_the_same_place_is_another_holder() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(0, 1), taking(LOWER, 5));
    let other = Holder {
        id: UpstreamId::from("other"),
        ..holder(0, 2)
    };
    checkers.takes(Time(2), &other, taking(LOWER, 5));
    assert_eq!(promises(checkers), [Promise::RisingTokens]);
}

#[test]
fn another_incarnation_of_a_name_is_measured_by_the_one_before() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(0, 1), taking(LOWER, 5));
    checkers.takes(Time(2), &holder(0, 2), taking(LOWER, 5));
    assert_eq!(promises(checkers), [Promise::RisingTokensOfRestarts]);
}

/// The highest token is the holder's own; one below it was another's.
#[test]
fn what_others_had_before_counts_too() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(1, 1), taking(LOWER, 6));
    checkers.takes(Time(2), &holder(0, 1), taking(LOWER, 8));
    checkers.takes(Time(3), &holder(0, 1), taking(LOWER, 4));
    assert_eq!(promises(checkers), [Promise::RisingTokens]);
}

/// A grant that does not count is nevertheless one under which its holder had the keys.
#[test]
fn grants_right_after_trouble_are_only_remembered() {
    let mut checkers = Checkers::default();
    let right_after = Taking {
        is_counted: false,
        ..taking(LOWER, 5)
    };
    checkers.takes(Time(1), &holder(1, 1), taking(LOWER, 6));
    checkers.takes(Time(2), &holder(0, 1), right_after);
    assert!(checkers.violations().is_empty());
    let higher = Taking {
        token: 9,
        ..right_after
    };
    checkers.takes(Time(3), &holder(0, 1), higher);
    checkers.takes(Time(4), &holder(1, 1), taking(LOWER, 8));
    assert_eq!(promises(checkers), [Promise::RisingTokens]);
}

#[test]
fn renewals_and_higher_tokens_are_in_order() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(0, 1), taking(WIDER, 5));
    checkers.takes(Time(2), &holder(0, 1), taking(LOWER, 5));
    checkers.takes(Time(3), &holder(1, 1), taking(LOWER, 6));
    checkers.takes(Time(4), &holder(0, 1), taking(UPPER, 5));
    checkers.takes(Time(5), &holder(0, 1), taking(LOWER, 7));
    assert!(promises(checkers).is_empty());
}

#[test]
fn two_that_begin_requests_on_a_key_both_hold() {
    let mut checkers = Checkers::default();
    let key = ShardKey(3);
    let other = |index, since| OtherHolder {
        upstream: upstream(index),
        since: Time(since),
    };
    checkers.keyed_begins(Time(5), &upstream(0), key, Time(1), &[]);
    // Before both held it the other one had begun none.
    checkers.keyed_begins(Time(7), &upstream(1), key, Time(6), &[other(0, 1)]);
    assert!(checkers.violations().is_empty());
    checkers.keyed_begins(Time(8), &upstream(0), key, Time(1), &[other(1, 6)]);
    assert_eq!(promises(checkers), [Promise::SoleOwner]);
}

#[test]
fn keys_are_not_given_while_another_holds_them_or_works_on_them() {
    let mut checkers = Checkers::default();
    checkers.taken_twice(Time(1), &upstream(0), &upstream(1));
    checkers.taken_from_work(Time(2), &upstream(0), &upstream(1));
    let both = [Promise::SoleOwner, Promise::SoleOwner];
    assert_eq!(promises(checkers), both);
}

/// A restart under the same name may take no key under a token that others had, either.
#[test]
fn a_restart_is_measured_by_other_upstreams_too() {
    let mut checkers = Checkers::default();
    checkers.takes(Time(1), &holder(0, 1), taking(LOWER, 5));
    checkers.takes(Time(2), &holder(1, 1), taking(LOWER, 9));
    checkers.takes(Time(3), &holder(0, 2), taking(LOWER, 7));
    assert_eq!(promises(checkers), [Promise::RisingTokens]);
}

/// A request ended three upstreams at 1 s, and comes to four more from 5 s on.
fn poison_after(forgotten: Option<Time>) -> Vec<Violation> {
    const CONTACT: Duration = Duration::from_secs(3);
    let mut checkers = Checkers::default();
    for _ in 0..3 {
        checkers.poison_ends(Time(1_000_000), "a");
    }
    if let Some(kept_until) = forgotten {
        checkers.poison_forgotten(kept_until);
    }
    for _ in 0..4 {
        checkers.poison_arrives(Time(5_000_000), CONTACT, "a");
    }
    checkers.finish(END)
}

#[test]
fn a_request_that_all_processes_and_the_store_forgot_counts_anew() {
    assert_eq!(poison_after(Some(Time(1_999_000))), []);
}

/// The store had the time to keep it: who starts reads it there.
#[test]
fn a_request_that_the_store_could_keep_is_to_be_kept_off() {
    for forgotten in [None, Some(Time(2_000_000)), Some(Time(4_000_000))] {
        let broken = poison_after(forgotten);
        assert_eq!(broken.len(), 1, "{forgotten:?}");
        assert_eq!(broken[0].promise, Promise::PoisonKeptOff);
    }
}
