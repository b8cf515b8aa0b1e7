//! Upstreams whose registrations are missing without proof that they left.
//!
//! Seen: a request was refused after 4 ms, with 1.48 s left and four ready upstreams in the
//! pool. How: three upstreams had ended, and others had registered at their addresses. The
//! entries of those that ended vanished together, which proves nothing, so they counted as
//! unconfirmed. The request was sent to one of them, which another process answered with 421,
//! then to the next one, and with that it had been sent as often as its route allows. Cause:
//! an unconfirmed upstream was chosen like any other. The routers' lines show it:
//! `upstream_unconfirmed`, then two times `attempt_ended outcome=misdirected` for these,
//! then `concluded reason=Refused arrivals=2`.

mod common;

use beamtray_catalog::{Directory, UpstreamId, UpstreamName};
use beamtray_dispatch::{AttemptOutcome, Decision, Dispatcher, Ticket};
use common::*;

/// The pool's upstreams of this zone are missing from then on, in doubt.
const MISSING_SINCE: u64 = 100;

/// An upstream of another zone, and some of this one, which would be chosen before it.
fn missing(names: &[&str]) -> Directory {
    let mut directory = directory();
    for (number, name) in names.iter().enumerate() {
        let port = 9_000 + number as u16;
        directory.register(at(0), record(name, "pool", "here", port));
    }
    directory.note_store_failure(at(MISSING_SINCE));
    let names = names.iter().copied().chain(["near"]);
    let names: Vec<UpstreamName> = names.map(|name| UpstreamId::from(name).name).collect();
    directory.handle_missing(at(MISSING_SINCE), &names);
    directory
}

fn admit(dispatcher: &mut Dispatcher, ticket: u64) {
    dispatcher
        .admit(at(MISSING_SINCE), Ticket(ticket), &head("/order/1", None))
        .expect("it is admitted");
}

fn sent_to(decisions: Vec<Decision>) -> Vec<String> {
    let decisions = decisions.into_iter();
    let sent = decisions.filter_map(|decision| match decision {
        Decision::Forward(_, forward) => Some(forward.upstream.name.0),
        _ => None,
    });
    sent.collect()
}

/// However many of the entries are out of date.
#[test]
fn an_upstream_that_is_registered_comes_first() {
    let directory = missing(&["a", "b", "c", "d"]);
    let mut dispatcher = dispatcher();
    for ticket in 0..4 {
        admit(&mut dispatcher, ticket);
    }
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &directory));
    assert_eq!(sent, ["far"; 4]);
}

/// It may be alive: its lease ran out while the store was away.
#[test]
fn one_that_is_not_is_tried_where_no_other_has_room() {
    let mut directory = missing(&[]);
    directory.handle_missing(at(MISSING_SINCE), &[UpstreamId::from("far").name]);
    let mut dispatcher = dispatcher();
    admit(&mut dispatcher, 1);
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &directory));
    assert_eq!(sent.len(), 1);
}

/// So that an entry which is out of date costs a node one try, not each request one.
#[test]
fn it_is_tried_with_one_request_at_a_time() {
    let mut directory = missing(&[]);
    directory.handle_missing(at(MISSING_SINCE), &[UpstreamId::from("far").name]);
    let mut dispatcher = dispatcher();
    for ticket in 0..6 {
        admit(&mut dispatcher, ticket);
    }
    let mut sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &directory));
    sent.sort();
    assert_eq!(sent, ["far", "near"]);
}

/// Its answer proves that it is there as well as a registration does.
#[test]
fn one_that_has_answered_since_is_as_good_as_any() {
    let directory = missing(&[]);
    let mut dispatcher = dispatcher();
    admit(&mut dispatcher, 1);
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &common::directory()));
    assert_eq!(sent, ["near"]);
    let answered = AttemptOutcome::Answered { success: true };
    dispatcher.ended(at(MISSING_SINCE + 30), Ticket(1), answered);
    for ticket in 2..4 {
        admit(&mut dispatcher, ticket);
    }
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE + 30), &directory));
    assert_eq!(sent, ["near"; 2]);
}
