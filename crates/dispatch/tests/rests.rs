//! Resting upstreams are sent nothing before the rest is over.

mod common;

use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{
    AttemptOutcome, Conclusion, Dispatcher, NotExecuted, RefusalReason, Ticket,
};
use beamtray_types::Time;
use common::*;
use std::time::Duration;

const REST: Duration = Duration::from_millis(3_000);
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

/// Guards against ending a rest early because of a later response without a rest or with a
/// shorter one.
#[test]
fn the_rest_that_ends_last_counts() {
    let mut dispatcher = dispatcher();
    dispatcher.begin_rest(at(0), &upstream("near"), REST);
    dispatcher.begin_rest(at(10), &upstream("near"), Duration::from_millis(100));
    for (number, millis) in [(1, 200), (2, 1_500), (3, 2_900)] {
        let to = sent_to(&mut dispatcher, at(millis), number, "/read/1");
        assert_eq!(to.as_deref(), Some("far"), "at {millis} ms");
        let answered = AttemptOutcome::Answered { success: true };
        dispatcher.attempt_ended(at(millis + 50), Ticket(number), answered);
    }
    let to = sent_to(&mut dispatcher, at(3_001), 9, "/read/1");
    assert_eq!(to.as_deref(), Some("near"));
}

/// Guards against retries at a resting holder, and against Retry-After times that end before
/// the holder accepts requests again.
#[test]
fn requests_for_a_resting_holder_are_refused_until_the_rest_is_over() {
    let mut dispatcher = dispatcher();
    assign(&mut dispatcher, 1, held());
    let to = sent_to(&mut dispatcher, at(0), 1, "/keyed/1");
    assert_eq!(to.as_deref(), Some("holder"));
    dispatcher.begin_rest(at(4), &upstream("holder"), REST);
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
        assert!(at(millis) + retry_after >= at(4) + REST);
    }
}

/// Guards against the case that all upstreams of a pool rest: nothing must be sent anywhere,
/// and clients must be told to retry when the first rest ends.
#[test]
fn requests_are_refused_while_all_upstreams_rest() {
    let mut dispatcher = dispatcher();
    dispatcher.begin_rest(at(0), &upstream("near"), REST);
    dispatcher.begin_rest(at(0), &upstream("far"), REST / 2);
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
    assert!(retry_after >= Duration::from_millis(1_490) && retry_after < REST);
    let to = sent_to(&mut dispatcher, at(1_501), 2, "/order/1");
    assert_eq!(to.as_deref(), Some("far"));
}

/// Guards against a rest that ends with the lapse of the registration, or that a new
/// incarnation inherits.
#[test]
fn a_rest_outlasts_the_registration_but_not_the_incarnation() {
    let mut dispatcher = dispatcher();
    dispatcher.begin_rest(at(0), &upstream("near"), REST);
    let empty = beamtray_catalog::Directory::new(beamtray_catalog::DirectoryPolicy {
        outage_grace: Duration::ZERO,
        reregistration_timeout: Duration::ZERO,
    });
    dispatcher.apply_directory(at(10), &empty);
    dispatcher.expire(at(10));
    let mut again = directory();
    dispatcher.apply_directory(at(20), &again);
    assert_eq!(dispatcher.resting_count(at(20)), 1);
    let mut restarted = record("near", "pool", "here", 8_000);
    restarted.id.started_at = Some(beamtray_catalog::StartTimestamp(5));
    again.register(at(30), restarted);
    dispatcher
        .admit(at(40), Ticket(1), &head("/read/1", None))
        .expect("admitted");
    let forward = forwarded(dispatcher.poll(at(40), &again)).expect("sent");
    assert_eq!(forward.upstream.name.0, "near");
}
