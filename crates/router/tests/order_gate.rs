//! Orders that were given before it was known that a connection ended.
//!
//! Seen: a restart took three ranges 7 ms after its start, under the tokens of the process
//! before. How: four renewals were given in one moment. The first found its connection ended
//! and was not sent; the others found none and opened new ones, which led to the restart.

use beamtray_catalog::UpstreamId;
use beamtray_router::core::{OrderGate, STANDBY_TERM};
use beamtray_sharding::{CallId, FencingToken, GrantOrder, KeyRange, OrderKind};
use beamtray_types::Time;
use std::time::Duration;

const TERM: u64 = 1;

fn order(token: u64, kind: OrderKind) -> GrantOrder {
    GrantOrder {
        call: CallId(token),
        holder: UpstreamId::from("ledger-1"),
        range: KeyRange::ALL,
        token: FencingToken(token),
        kind,
    }
}

fn renewal(token: u64) -> GrantOrder {
    let hold = Duration::from_secs(3);
    order(
        token,
        OrderKind::Grant {
            hold,
            handover: None,
        },
    )
}

/// Renewals under 11 to 14 were written, and the connection of another one has ended.
fn after_an_end() -> OrderGate {
    let mut gate = OrderGate::default();
    for token in 11..=14 {
        gate.written(Time::ZERO, &renewal(token));
    }
    gate.connection_ended(&renewal(11).holder.name);
    gate
}

#[test]
fn no_token_from_before_goes_over_a_new_connection() {
    let gate = after_an_end();
    for token in 1..=14 {
        assert!(!gate.may_connect(&renewal(token), TERM), "{token}");
    }
}

#[test]
fn fresh_tokens_do() {
    assert!(after_an_end().may_connect(&renewal(15), TERM));
}

#[test]
fn a_second_end_outdates_what_was_written_since() {
    let mut gate = after_an_end();
    gate.written(Time::ZERO, &renewal(15));
    assert!(gate.may_connect(&renewal(15), TERM));
    gate.connection_ended(&renewal(15).holder.name);
    assert!(!gate.may_connect(&renewal(15), TERM));
    assert!(gate.may_connect(&renewal(16), TERM));
}

#[test]
fn releases_and_standbys_may_always_connect() {
    let gate = after_an_end();
    assert!(gate.may_connect(&order(2, OrderKind::Release), TERM));
    assert!(gate.may_connect(&renewal(14), STANDBY_TERM));
}

/// As long as none has ended a new connection is nothing special.
#[test]
fn without_an_end_all_may_connect() {
    let mut gate = OrderGate::default();
    gate.written(Time::ZERO, &renewal(14));
    assert!(gate.may_connect(&renewal(11), TERM));
}

/// A restart long after finds its keys with others: whom no order went to is forgotten, one
/// that is still given orders is not.
#[test]
fn who_is_given_no_orders_is_forgotten() {
    let mut gate = after_an_end();
    let mut other = renewal(20);
    other.holder = UpstreamId::from("ledger-2");
    gate.written(Time::ZERO + Duration::from_secs(9), &renewal(15));
    gate.written(Time::ZERO + Duration::from_secs(11), &other);
    assert!(!gate.may_connect(&renewal(14), TERM));
    gate.written(Time::ZERO + Duration::from_secs(30), &other);
    assert!(gate.may_connect(&renewal(14), TERM));
}
