//! Requests for keys without a holder: which wait, which are refused at once, and what
//! their clients are told.

mod common;

use beamtray_catalog::{Directory, UpstreamId};
use beamtray_dispatch::{
    AttemptOutcome, Conclusion, Dispatcher, NotExecuted, RefusalReason, Ticket,
};
use beamtray_sharding::{FencingToken, SliceState};
use common::*;
use std::time::Duration;

fn leaving() -> SliceState {
    SliceState::Leaving {
        holder: UpstreamId::from("holder".to_owned()),
        token: FencingToken(1),
    }
}

fn ask(dispatcher: &mut Dispatcher, millis: u64, ticket: u64) {
    dispatcher
        .admit(at(millis), Ticket(ticket), &head("/keyed/1", Some(5)))
        .expect("admitted");
}

/// The time to come back in of a request that is refused now for its key.
fn refused(dispatcher: &mut Dispatcher, directory: &Directory, millis: u64) -> Option<Duration> {
    match concluded(dispatcher.poll(at(millis), directory))? {
        Conclusion::Refused {
            reason: RefusalReason::KeyUnheld,
            retry_after,
        } => Some(retry_after),
        other => panic!("not refused for its key: {other:?}"),
    }
}

/// Keys that were without a holder so long, ten times, the last time until `end`.
fn moves(dispatcher: &mut Dispatcher, lasted: u64, end: u64) {
    for number in 0..10 {
        let held_at = end - (9 - number) * 1_000;
        assign_at(dispatcher, held_at - lasted, 2 * number + 1, leaving());
        assign_at(dispatcher, held_at, 2 * number + 2, held());
    }
}

/// It waited 80 ms, a fifth of its target latency, and was refused then: a key moves in
/// 400 ms or more.
#[test]
fn what_will_not_be_served_in_time_is_refused_at_once() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, leaving());
    ask(&mut dispatcher, 0, 1);
    let retry_after = refused(&mut dispatcher, &directory, 0).expect("refused at once");
    assert!(retry_after >= Duration::from_millis(400), "{retry_after:?}");
    assert!(retry_after <= Duration::from_millis(800), "{retry_after:?}");
}

#[test]
fn a_request_waits_for_a_key_that_will_have_a_holder_in_time() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    moves(&mut dispatcher, 60, 20_000);
    assign_at(&mut dispatcher, 21_000, 30, leaving());
    ask(&mut dispatcher, 21_000, 1);
    assert_eq!(refused(&mut dispatcher, &directory, 21_000), None);
    assign_at(&mut dispatcher, 21_058, 31, held());
    let forward = forwarded(dispatcher.poll(at(21_058), &directory)).expect("sent");
    assert_eq!(forward.upstream.name.0, "holder");
}

/// A key that has been without a holder for longer than any that moved is expected back
/// when those were whose holder was lost.
#[test]
fn a_key_that_has_waited_for_longer_than_a_move_is_told_of_a_loss() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    moves(&mut dispatcher, 60, 20_000);
    assign_at(&mut dispatcher, 21_000, 30, leaving());
    ask(&mut dispatcher, 22_000, 1);
    let retry_after = refused(&mut dispatcher, &directory, 22_000).expect("refused at once");
    // 3 s of 4 s are left, and half as much is the spread.
    assert!(retry_after >= Duration::from_secs(3), "{retry_after:?}");
    assert!(
        retry_after <= Duration::from_millis(4_700),
        "{retry_after:?}"
    );
}

#[test]
fn what_was_observed_lately_counts() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    moves(&mut dispatcher, 900, 20_000);
    assign_at(&mut dispatcher, 21_000, 30, leaving());
    ask(&mut dispatcher, 21_000, 1);
    let retry_after = refused(&mut dispatcher, &directory, 21_000).expect("refused at once");
    assert!(retry_after >= Duration::from_millis(900), "{retry_after:?}");
    assert!(
        retry_after <= Duration::from_millis(1_550),
        "{retry_after:?}"
    );
}

/// Clients of the same keys come back one after the other.
#[test]
fn clients_of_keys_without_a_holder_are_spread() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, leaving());
    let mut told = Vec::new();
    for ticket in 0..50 {
        ask(&mut dispatcher, 1_000, ticket);
        told.extend(refused(&mut dispatcher, &directory, 1_000));
    }
    told.sort();
    let spread = told[40] - told[10];
    assert!(spread >= Duration::from_millis(500), "{spread:?}");
}

/// The assignment that names the next holder may be on its way.
#[test]
fn what_a_holder_denied_waits_for_a_newer_assignment() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, held());
    ask(&mut dispatcher, 0, 1);
    forwarded(dispatcher.poll(at(0), &directory)).expect("sent");
    let denied = AttemptOutcome::NotExecuted(NotExecuted::Misdirected);
    assert!(dispatcher.attempt_ended(at(5), Ticket(1), denied).is_none());
    assign_at(&mut dispatcher, 10, 2, leaving());
    assert_eq!(refused(&mut dispatcher, &directory, 10), None);
}
