//! Upstreams that asked this node for rest get nothing before it is over.

mod common;

use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{AttemptOutcome, Conclusion, Dispatcher, RefusalReason, Ticket, Untouched};
use beamtray_types::Time;
use common::*;
use std::time::Duration;

const REST: Duration = Duration::from_millis(3_000);
const FULL: AttemptOutcome = AttemptOutcome::Untouched(Untouched::Full);

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::from(name.to_owned())
}

/// Who gets a request that comes then; none if it is not sent at once.
fn sent_to(dispatcher: &mut Dispatcher, now: Time, number: u64, path: &str) -> Option<String> {
    let key = path.starts_with("/keyed").then_some(7);
    dispatcher
        .admit(now, Ticket(number), &head(path, key))
        .expect("admitted");
    let forward = forwarded(dispatcher.poll(now, &directory()))?;
    Some(forward.upstream.name.0)
}

/// Guards against a rest that the next answer ends: one without a rest, or with a shorter one.
#[test]
fn of_several_rests_the_one_that_ends_last_counts() {
    let mut dispatcher = dispatcher();
    dispatcher.asked_to_rest(at(0), &upstream("near"), REST);
    dispatcher.asked_to_rest(at(10), &upstream("near"), Duration::from_millis(100));
    for (number, millis) in [(1, 200), (2, 1_500), (3, 2_900)] {
        let to = sent_to(&mut dispatcher, at(millis), number, "/read/1");
        assert_eq!(to.as_deref(), Some("far"), "at {millis} ms");
        let answered = AttemptOutcome::Answered { success: true };
        dispatcher.ended(at(millis + 50), Ticket(number), answered);
    }
    let to = sent_to(&mut dispatcher, at(3_001), 9, "/read/1");
    assert_eq!(to.as_deref(), Some("near"));
}

/// Guards against second attempts at a holder that rests, and against callers that are told
/// to come back before it can take them.
#[test]
fn a_request_whose_holder_rests_is_refused_at_once_until_the_rest_is_over() {
    let mut dispatcher = dispatcher();
    assign(&mut dispatcher, 1, held());
    let to = sent_to(&mut dispatcher, at(0), 1, "/keyed/1");
    assert_eq!(to.as_deref(), Some("holder"));
    dispatcher.asked_to_rest(at(4), &upstream("holder"), REST);
    assert!(dispatcher.ended(at(4), Ticket(1), FULL).is_none());
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
            panic!("it is to be refused at {millis} ms");
        };
        assert!(at(millis) + retry_after >= at(4) + REST);
    }
}

/// Guards against rests that are told to a pool as a whole: nothing is sent anywhere, and
/// callers come back when the first one is over.
#[test]
fn where_all_rest_requests_are_refused_until_the_first_is_over() {
    let mut dispatcher = dispatcher();
    dispatcher.asked_to_rest(at(0), &upstream("near"), REST);
    dispatcher.asked_to_rest(at(0), &upstream("far"), REST / 2);
    dispatcher
        .admit(at(10), Ticket(1), &head("/order/1", None))
        .expect("admitted");
    let Some(Conclusion::Refused {
        reason: RefusalReason::Resting,
        retry_after,
    }) = concluded(dispatcher.poll(at(10), &directory()))
    else {
        panic!("it is to be refused");
    };
    assert!(retry_after >= Duration::from_millis(1_490) && retry_after < REST);
    let to = sent_to(&mut dispatcher, at(1_501), 2, "/order/1");
    assert_eq!(to.as_deref(), Some("far"));
}

/// Guards against a rest that an entry's lapse ends, or that a restart inherits.
#[test]
fn a_rest_outlasts_the_entry_and_not_the_incarnation() {
    let mut dispatcher = dispatcher();
    dispatcher.asked_to_rest(at(0), &upstream("near"), REST);
    let empty = beamtray_catalog::Directory::new(beamtray_catalog::DirectoryPolicy {
        outage_grace: Duration::ZERO,
        reregistration_timeout: Duration::ZERO,
    });
    dispatcher.follow(at(10), &empty);
    dispatcher.expire(at(10));
    let mut again = directory();
    dispatcher.follow(at(20), &again);
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
