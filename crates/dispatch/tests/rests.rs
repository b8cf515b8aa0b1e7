//! Upstreams that requested a backoff are sent nothing before it ends.

mod common;

use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{
    AttemptOutcome, Conclusion, Dispatcher, NotExecuted, RefusalReason, Ticket,
};
use beamtray_types::Time;
use common::*;
use std::time::Duration;

const BACKOFF: Duration = Duration::from_millis(3_000);
const FULL: AttemptOutcome = AttemptOutcome::NotExecuted(NotExecuted::Full);

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::from(name.to_owned())
}

/// The upstream that a request is sent to at `now`; `None` if it is not sent at once.
fn sent_to(dispatcher: &mut Dispatcher, now: Time, number: u64, path: &str) -> Option<String> {
    let key = path.starts_with("/keyed").then_some(7);
    dispatcher
        .admit(now, Ticket(number), &head(path, key))
        .expect("admitted");
    let forward = forwarded(dispatcher.poll(now, &directory()))?;
    Some(forward.upstream.name.0)
}

/// Guards against ending a backoff early because of a later response that requests none or a
/// shorter one.
#[test]
fn the_backoff_that_ends_last_counts() {
    let mut dispatcher = dispatcher();
    dispatcher.start_backoff(at(0), &upstream("near"), BACKOFF);
    dispatcher.start_backoff(at(10), &upstream("near"), Duration::from_millis(100));
    for (number, millis) in [(1, 200), (2, 1_500), (3, 2_900)] {
        let to = sent_to(&mut dispatcher, at(millis), number, "/read/1");
        assert_eq!(to.as_deref(), Some("far"), "at {millis} ms");
        let answered = AttemptOutcome::Answered { success: true };
        dispatcher.attempt_ended(at(millis + 50), Ticket(number), answered);
    }
    let to = sent_to(&mut dispatcher, at(3_001), 9, "/read/1");
    assert_eq!(to.as_deref(), Some("near"));
}

/// Guards against retries at a holder in backoff, and against Retry-After times that end before
/// the holder accepts requests again.
#[test]
fn requests_for_a_holder_in_backoff_are_refused_until_it_ends() {
    let mut dispatcher = dispatcher();
    assign(&mut dispatcher, 1, held());
    let to = sent_to(&mut dispatcher, at(0), 1, "/keyed/1");
    assert_eq!(to.as_deref(), Some("holder"));
    dispatcher.start_backoff(at(4), &upstream("holder"), BACKOFF);
    assert!(dispatcher.attempt_ended(at(4), Ticket(1), FULL).is_none());
    for (number, millis) in [(1, 4), (2, 1_000)] {
        if number != 1 {
            let to = sent_to(&mut dispatcher, at(millis), number, "/keyed/1");
            assert_eq!(to, None);
            dispatcher
                .admit(at(millis), Ticket(number + 10), &head("/keyed/1", Some(7)))
                .expect("admitted");
        }
        let decisions = dispatcher.poll(at(millis), &directory());
        let Some(Conclusion::Refused {
            reason: RefusalReason::Resting,
            retry_after,
        }) = concluded(decisions)
        else {
            panic!("expected a refusal at {millis} ms");
        };
        assert!(at(millis) + retry_after >= at(4) + BACKOFF);
    }
}

/// Guards against the case that all upstreams of a pool are in backoff: nothing must be sent
/// anywhere, and clients must be asked to retry when the first backoff ends.
#[test]
fn requests_are_refused_while_all_upstreams_are_in_backoff() {
    let mut dispatcher = dispatcher();
    dispatcher.start_backoff(at(0), &upstream("near"), BACKOFF);
    dispatcher.start_backoff(at(0), &upstream("far"), BACKOFF / 2);
    dispatcher
        .admit(at(10), Ticket(1), &head("/order/1", None))
        .expect("admitted");
    let Some(Conclusion::Refused {
        reason: RefusalReason::Resting,
        retry_after,
    }) = concluded(dispatcher.poll(at(10), &directory()))
    else {
        panic!("expected a refusal");
    };
    assert!(retry_after >= Duration::from_millis(1_490) && retry_after < BACKOFF);
    let to = sent_to(&mut dispatcher, at(1_501), 2, "/order/1");
    assert_eq!(to.as_deref(), Some("far"));
}

/// Guards against a backoff that ends when the registration expires, or that a new
/// incarnation inherits.
#[test]
fn a_backoff_outlasts_the_registration_but_not_the_incarnation() {
    let mut dispatcher = dispatcher();
    dispatcher.start_backoff(at(0), &upstream("near"), BACKOFF);
    let empty = beamtray_catalog::Directory::new(beamtray_catalog::DirectoryPolicy {
        outage_grace: Duration::ZERO,
        reregistration_timeout: Duration::ZERO,
    });
    dispatcher.apply_directory(at(10), &empty);
    dispatcher.expire(at(10));
    let mut again = directory();
    dispatcher.apply_directory(at(20), &again);
    assert_eq!(dispatcher.backed_off_count(at(20)), 1);
    let mut restarted = record("near", "pool", "here", 8_000);
    restarted.id.started_at = Some(beamtray_catalog::StartTimestamp(5));
    again.register(at(30), restarted);
    dispatcher
        .admit(at(40), Ticket(1), &head("/read/1", None))
        .expect("admitted");
    let forward = forwarded(dispatcher.poll(at(40), &again)).expect("sent");
    assert_eq!(forward.upstream.name.0, "near");
}
