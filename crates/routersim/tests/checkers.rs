//! The ownership checkers report invalid histories and accept valid ones.

use beamtray_catalog::UpstreamId;
use beamtray_routersim::{Checkers, GrantObservation, Holder, Invariant, OtherHolder, Violation};
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
/// End of the history. No requests are sent, so the recovery invariant does not apply.
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

fn accepted_grant(range: KeyRange, token: u64) -> GrantObservation {
    GrantObservation {
        range,
        token,
        is_counted: true,
    }
}

fn invariants(checkers: Checkers) -> Vec<Invariant> {
    let violations = checkers.finish(END).into_iter();
    violations.map(|one: Violation| one.invariant).collect()
}

#[test]
fn token_must_be_higher_than_those_of_others() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(0, 1), accepted_grant(LOWER, 5));
    checkers.grant_accepted(Time(2), &holder(1, 1), accepted_grant(LOWER, 9));
    checkers.grant_accepted(Time(3), &holder(0, 1), accepted_grant(LOWER, 5));
    assert_eq!(invariants(checkers), [Invariant::RisingTokens]);
}

#[test]
fn equal_token_is_reported() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(0, 1), accepted_grant(LOWER, 5));
    checkers.grant_accepted(Time(2), &holder(1, 1), accepted_grant(LOWER, 5));
    assert_eq!(invariants(checkers), [Invariant::RisingTokens]);
}

#[test]
fn partial_overlap_of_ranges_is_reported() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(0, 1), accepted_grant(UPPER, 7));
    checkers.grant_accepted(Time(2), &holder(1, 1), accepted_grant(WIDER, 6));
    assert_eq!(invariants(checkers), [Invariant::RisingTokens]);
}

#[test]
fn another_name_at_the_same_index_is_another_holder() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(0, 1), accepted_grant(LOWER, 5));
    let other = Holder {
        id: UpstreamId::from("other"),
        ..holder(0, 2)
    };
    checkers.grant_accepted(Time(2), &other, accepted_grant(LOWER, 5));
    assert_eq!(invariants(checkers), [Invariant::RisingTokens]);
}

#[test]
fn incarnation_is_compared_with_its_predecessor() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(0, 1), accepted_grant(LOWER, 5));
    checkers.grant_accepted(Time(2), &holder(0, 2), accepted_grant(LOWER, 5));
    assert_eq!(invariants(checkers), [Invariant::RisingTokensOfRestarts]);
}

/// The highest token is the holder's own; another holder had a lower one.
#[test]
fn earlier_tokens_of_others_are_compared_too() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(1, 1), accepted_grant(LOWER, 6));
    checkers.grant_accepted(Time(2), &holder(0, 1), accepted_grant(LOWER, 8));
    checkers.grant_accepted(Time(3), &holder(0, 1), accepted_grant(LOWER, 4));
    assert_eq!(invariants(checkers), [Invariant::RisingTokens]);
}

/// A grant that does not count as a violation is still recorded as held.
#[test]
fn grants_right_after_a_fault_are_recorded_but_not_reported() {
    let mut checkers = Checkers::default();
    let right_after = GrantObservation {
        is_counted: false,
        ..accepted_grant(LOWER, 5)
    };
    checkers.grant_accepted(Time(1), &holder(1, 1), accepted_grant(LOWER, 6));
    checkers.grant_accepted(Time(2), &holder(0, 1), right_after);
    assert!(checkers.violations().is_empty());
    let higher = GrantObservation {
        token: 9,
        ..right_after
    };
    checkers.grant_accepted(Time(3), &holder(0, 1), higher);
    checkers.grant_accepted(Time(4), &holder(1, 1), accepted_grant(LOWER, 8));
    assert_eq!(invariants(checkers), [Invariant::RisingTokens]);
}

#[test]
fn renewals_and_higher_tokens_are_accepted() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(0, 1), accepted_grant(WIDER, 5));
    checkers.grant_accepted(Time(2), &holder(0, 1), accepted_grant(LOWER, 5));
    checkers.grant_accepted(Time(3), &holder(1, 1), accepted_grant(LOWER, 6));
    checkers.grant_accepted(Time(4), &holder(0, 1), accepted_grant(UPPER, 5));
    checkers.grant_accepted(Time(5), &holder(0, 1), accepted_grant(LOWER, 7));
    assert!(invariants(checkers).is_empty());
}

#[test]
fn overlapping_holders_that_begin_requests_are_reported() {
    let mut checkers = Checkers::default();
    let key = ShardKey(3);
    let other = |index, since| OtherHolder {
        upstream: upstream(index),
        since: Time(since),
    };
    checkers.keyed_request_started(Time(5), &upstream(0), key, Time(1), &[]);
    // The other upstream had begun no request before both held the key.
    checkers.keyed_request_started(Time(7), &upstream(1), key, Time(6), &[other(0, 1)]);
    assert!(checkers.violations().is_empty());
    checkers.keyed_request_started(Time(8), &upstream(0), key, Time(1), &[other(1, 6)]);
    assert_eq!(invariants(checkers), [Invariant::SoleOwner]);
}

#[test]
fn keys_are_not_granted_while_another_holds_or_works_on_them() {
    let mut checkers = Checkers::default();
    checkers.granted_while_held(Time(1), &upstream(0), &upstream(1));
    checkers.granted_during_work(Time(2), &upstream(0), &upstream(1));
    let both = [Invariant::SoleOwner, Invariant::SoleOwner];
    assert_eq!(invariants(checkers), both);
}

/// A restart under the same name must not accept a key under a token that other upstreams have
/// held.
#[test]
fn restart_is_compared_with_other_upstreams_too() {
    let mut checkers = Checkers::default();
    checkers.grant_accepted(Time(1), &holder(0, 1), accepted_grant(LOWER, 5));
    checkers.grant_accepted(Time(2), &holder(1, 1), accepted_grant(LOWER, 9));
    checkers.grant_accepted(Time(3), &holder(0, 2), accepted_grant(LOWER, 7));
    assert_eq!(invariants(checkers), [Invariant::RisingTokens]);
}

/// A request crashes three upstreams at 1 s and reaches four more from 5 s on.
fn poison_after(forgotten: Option<Time>) -> Vec<Violation> {
    const CONTACT: Duration = Duration::from_secs(3);
    let mut checkers = Checkers::default();
    for _ in 0..3 {
        checkers.poison_crashed(Time(1_000_000), "a");
    }
    if let Some(kept_until) = forgotten {
        checkers.forget_poison(kept_until);
    }
    for _ in 0..4 {
        checkers.poison_arrived(Time(5_000_000), CONTACT, "a");
    }
    checkers.finish(END)
}

#[test]
fn poison_forgotten_by_processes_and_store_counts_anew() {
    assert_eq!(poison_after(Some(Time(1_999_000))), []);
}

/// The store had time to persist the suspicion, so restarted processes read it there.
#[test]
fn poison_persisted_in_the_store_must_stay_quarantined() {
    for forgotten in [None, Some(Time(2_000_000)), Some(Time(4_000_000))] {
        let broken = poison_after(forgotten);
        assert_eq!(broken.len(), 1, "{forgotten:?}");
        assert_eq!(broken[0].invariant, Invariant::PoisonKeptOff);
    }
}
