//! Upstreams whose registrations are missing without proof that they left.
//!
//! Guards against choosing an unconfirmed upstream like any other. Three upstreams had
//! terminated and other processes had registered at their addresses. The registrations of the
//! three vanished together, which proves nothing, so they counted as unconfirmed. A request was
//! sent to two of them, got a 421 response from the other processes both times, and had then
//! been sent as often as its route allows: it was refused after 4 ms, with 1.48 s left and four
//! ready upstreams in the pool. The router's log shows `upstream_unconfirmed`, then twice
//! `attempt_ended outcome=misdirected`, then `concluded reason=Refused arrivals=2`.

mod common;

use beamtray_catalog::{Directory, UpstreamId, UpstreamName};
use beamtray_dispatch::{AttemptOutcome, Decision, Dispatcher, Ticket};
use common::*;

/// When the registrations of this zone's upstreams in the pool go missing.
const MISSING_SINCE: u64 = 100;

/// A directory with a confirmed upstream in another zone, and unconfirmed ones in this zone,
/// which would otherwise be preferred.
fn directory_missing(names: &[&str]) -> Directory {
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

/// However many registrations are missing.
#[test]
fn registered_upstreams_are_preferred() {
    let directory = directory_missing(&["a", "b", "c", "d"]);
    let mut dispatcher = dispatcher();
    for ticket in 0..4 {
        admit(&mut dispatcher, ticket);
    }
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &directory));
    assert_eq!(sent, ["far"; 4]);
}

/// The upstream may be alive: its lease may have expired while the store was unavailable.
#[test]
fn an_unconfirmed_upstream_is_used_if_no_other_has_room() {
    let mut directory = directory_missing(&[]);
    directory.handle_missing(at(MISSING_SINCE), &[UpstreamId::from("far").name]);
    let mut dispatcher = dispatcher();
    admit(&mut dispatcher, 1);
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &directory));
    assert_eq!(sent.len(), 1);
}

/// An outdated registration costs a node one attempt, not one per request.
#[test]
fn an_unconfirmed_upstream_gets_one_request_at_a_time() {
    let mut directory = directory_missing(&[]);
    directory.handle_missing(at(MISSING_SINCE), &[UpstreamId::from("far").name]);
    let mut dispatcher = dispatcher();
    for ticket in 0..6 {
        admit(&mut dispatcher, ticket);
    }
    let mut sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &directory));
    sent.sort();
    assert_eq!(sent, ["far", "near"]);
}

/// A response proves that the upstream is alive as well as a registration does.
#[test]
fn an_unconfirmed_upstream_that_responds_counts_as_confirmed() {
    let directory = directory_missing(&[]);
    let mut dispatcher = dispatcher();
    admit(&mut dispatcher, 1);
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE), &common::directory()));
    assert_eq!(sent, ["near"]);
    let answered = AttemptOutcome::Answered { success: true };
    dispatcher.attempt_ended(at(MISSING_SINCE + 30), Ticket(1), answered);
    for ticket in 2..4 {
        admit(&mut dispatcher, ticket);
    }
    let sent = sent_to(dispatcher.poll(at(MISSING_SINCE + 30), &directory));
    assert_eq!(sent, ["near"; 2]);
}
