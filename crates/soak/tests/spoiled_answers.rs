//! Requests that must not be repeated, at an upstream that spoils its rejections. With real
//! processes: a router, the emulated store and an upstream of the sharded service that rejects the
//! first sending of each request.

mod common;

use common::keyed::{KeyedCluster, send};
use std::collections::BTreeSet;
use std::thread;

const REQUESTS: usize = 40;
/// Few enough requests that the budget allows a retry of each.
const RETRIED_REQUESTS: usize = 6;
/// Work of a request that fills the upstream, in milliseconds.
const FILLING_MS: u64 = 1_500;

/// Asserts that no request ran that was refused with a promise, and none twice.
fn assert_promises_kept(name: &str, kind: &str) {
    let cluster = KeyedCluster::start(name, &["--rejects-first", &format!("--spoil={kind}")]);
    let statuses = cluster.send_all(REQUESTS);
    let begun = cluster.begun();
    let once: BTreeSet<&String> = begun.iter().collect();
    let promised = statuses
        .iter()
        .filter(|(_, status)| matches!(status, 429 | 503 | 408 | 421));
    let broken: Vec<_> = promised.filter(|(id, _)| once.contains(id)).collect();
    for (id, _) in &broken {
        println!("{}", cluster.lines(id).join("\n"));
    }
    assert!(broken.is_empty(), "refused, yet ran: {broken:?}");
    assert_eq!(begun.len(), once.len(), "{begun:?}");
}

/// Guards against a rejection that is sent again being taken for the answer to the next sending of
/// the same request: it was refused with a promise, and ran.
#[test]
fn a_request_is_not_refused_by_a_rejection_of_its_earlier_sending() {
    assert_promises_kept("spoiled-late", "late");
}

/// Guards against the same with a rejection that comes by itself while the next answer is due.
#[test]
fn a_request_is_not_refused_by_a_delayed_copy_of_a_rejection() {
    assert_promises_kept("spoiled-timed", "timed");
}

/// Guards against a rejection without an id, of whatever request, being taken as proof.
#[test]
fn a_request_is_not_refused_by_a_rejection_without_an_id() {
    assert_promises_kept("spoiled-without-id", "late-without-id");
}

/// Guards against surplus bytes right behind a rejection being taken as proof for the next sending.
#[test]
fn a_request_is_not_refused_by_a_second_copy_behind_a_rejection() {
    assert_promises_kept("spoiled-surplus", "surplus");
}

/// Guards against a fix that gives up the retry of a request that a sound upstream rejected.
#[test]
fn a_request_rejected_by_a_sound_upstream_is_served_on_its_retry() {
    let cluster = KeyedCluster::start("rejected-first", &["--rejects-first"]);
    let statuses = cluster.send_all(RETRIED_REQUESTS);
    assert!(
        statuses.values().all(|status| *status == 200),
        "{statuses:?}"
    );
}

/// Guards against a refusal whose last line doesn't tell of each sending what proved that it did
/// not run.
#[test]
fn the_line_of_a_refusal_tells_of_each_sending() {
    let options = ["--rejects-when-full", "--slots=1", "--queue=0"];
    let cluster = KeyedCluster::start("refusal-line", &options);
    let router = cluster.router;
    let first = thread::spawn(move || send(router, "filler", FILLING_MS));
    cluster.await_begun("filler");
    let status = send(cluster.router, "refused", FILLING_MS);
    assert_eq!(status, 503);
    let lines = cluster.lines("refused");
    let concluded = lines.iter().find(|line| line.contains("msg=concluded"));
    let concluded = concluded.unwrap_or_else(|| panic!("no line: {lines:?}"));
    assert!(concluded.contains("sendings="), "{concluded}");
    for attempt in lines
        .iter()
        .filter(|line| line.contains("msg=attempt_ended"))
    {
        assert!(attempt.contains("connection="), "{attempt}");
        assert!(attempt.contains("written="), "{attempt}");
    }
    first.join().expect("it ends");
}
