//! Requests for keys without a holder: which ones wait, which are refused at once, and their
//! Retry-After times.

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

fn admit(dispatcher: &mut Dispatcher, millis: u64, ticket: u64) {
    dispatcher
        .admit(at(millis), Ticket(ticket), &head("/keyed/1", Some(5)))
        .expect("admitted");
}

/// Retry-After time of a request that is refused now because its key has no holder.
fn refused(dispatcher: &mut Dispatcher, directory: &Directory, millis: u64) -> Option<Duration> {
    match concluded(dispatcher.poll(at(millis), directory))? {
        Conclusion::Refused {
            reason: RefusalReason::KeyUnheld,
            retry_after,
        } => Some(retry_after),
        other => panic!("not refused for its key: {other:?}"),
    }
}

/// Lets the keys be without a holder ten times for `lasted` ms, the last time until `end`.
fn simulate_moves(dispatcher: &mut Dispatcher, lasted: u64, end: u64) {
    for number in 0..10 {
        let held_at = end - (9 - number) * 1_000;
        assign_at(dispatcher, held_at - lasted, 2 * number + 1, leaving());
        assign_at(dispatcher, held_at, 2 * number + 2, held());
    }
}

/// Guards against waiting without prospect: the request used to be refused only after 80 ms, a
/// fifth of its target latency, although a move takes 400 ms or more.
#[test]
fn requests_that_can_not_be_served_in_time_are_refused_at_once() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, leaving());
    admit(&mut dispatcher, 0, 1);
    let retry_after = refused(&mut dispatcher, &directory, 0).expect("refused at once");
    assert!(retry_after >= Duration::from_millis(400), "{retry_after:?}");
    assert!(retry_after <= Duration::from_millis(800), "{retry_after:?}");
}

#[test]
fn a_request_waits_if_its_key_is_expected_to_have_a_holder_in_time() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    simulate_moves(&mut dispatcher, 60, 20_000);
    assign_at(&mut dispatcher, 21_000, 30, leaving());
    admit(&mut dispatcher, 21_000, 1);
    assert_eq!(refused(&mut dispatcher, &directory, 21_000), None);
    assign_at(&mut dispatcher, 21_058, 31, held());
    let forward = forwarded(dispatcher.poll(at(21_058), &directory)).expect("sent");
    assert_eq!(forward.upstream.name.0, "holder");
}

/// A key that has been without a holder for longer than any observed move is expected back
/// after the duration of a lost hold.
#[test]
fn retry_after_of_a_key_unheld_for_longer_than_a_move_assumes_a_lost_holder() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    simulate_moves(&mut dispatcher, 60, 20_000);
    assign_at(&mut dispatcher, 21_000, 30, leaving());
    admit(&mut dispatcher, 22_000, 1);
    let retry_after = refused(&mut dispatcher, &directory, 22_000).expect("refused at once");
    // 3 s of 4 s are left, and the jitter adds up to half as much.
    assert!(retry_after >= Duration::from_secs(3), "{retry_after:?}");
    assert!(
        retry_after <= Duration::from_millis(4_700),
        "{retry_after:?}"
    );
}

#[test]
fn retry_after_follows_recently_observed_durations() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    simulate_moves(&mut dispatcher, 900, 20_000);
    assign_at(&mut dispatcher, 21_000, 30, leaving());
    admit(&mut dispatcher, 21_000, 1);
    let retry_after = refused(&mut dispatcher, &directory, 21_000).expect("refused at once");
    assert!(retry_after >= Duration::from_millis(900), "{retry_after:?}");
    assert!(
        retry_after <= Duration::from_millis(1_550),
        "{retry_after:?}"
    );
}

/// Guards against clients of the same keys all retrying at the same moment.
#[test]
fn retry_after_of_keys_without_a_holder_is_jittered() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, leaving());
    let mut retry_times = Vec::new();
    for ticket in 0..50 {
        admit(&mut dispatcher, 1_000, ticket);
        retry_times.extend(refused(&mut dispatcher, &directory, 1_000));
    }
    retry_times.sort();
    let spread = retry_times[40] - retry_times[10];
    assert!(spread >= Duration::from_millis(500), "{spread:?}");
}

/// The assignment that names the next holder may be on its way.
#[test]
fn a_request_rejected_by_its_holder_waits_for_a_newer_assignment() {
    let (mut dispatcher, directory) = (dispatcher(), directory());
    assign(&mut dispatcher, 1, held());
    admit(&mut dispatcher, 0, 1);
    forwarded(dispatcher.poll(at(0), &directory)).expect("sent");
    let rejected = AttemptOutcome::NotExecuted(NotExecuted::Misdirected);
    assert!(
        dispatcher
            .attempt_ended(at(5), Ticket(1), rejected)
            .is_none()
    );
    assign_at(&mut dispatcher, 10, 2, leaving());
    assert_eq!(refused(&mut dispatcher, &directory, 10), None);
}
